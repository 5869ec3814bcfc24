//! HTTP client of the platform's store.

use std::cell::Cell;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use compact_str::CompactString;
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, Method, StatusCode};
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use serde::Deserialize;
use serde_with::{base64::Base64, serde_as};

use crate::log_client::http_client::{HttpClient, Response};
use crate::store::{AppendOutcome, Changes, Error, Feed, Record, Snapshot, Store};

/// Time limit of a call, in addition to the time for which the store may hold it.
///
/// A response takes 4 ms, and up to 60 times as long while the store is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Number of topics over which budgets are spread, each with one partition for every slot.
const BUDGET_TOPICS: u16 = 4;

/// Number of topics over which journals are spread; the platform allows a hundred topics.
const JOURNAL_TOPICS: u16 = 40;

/// Maximum size of one read, in kilobytes.
const MAX_READ_KB: u32 = 512;

/// Field of all responses that states how often the store has returned from an older copy.
const EPOCH_FIELD: &str = "store-era";

/// Size of the header of a read: the end and the first retained position.
const READ_HEADER_BYTES: usize = 16;

/// Client of the store over HTTP.
pub struct StoreClient {
    address: String,
    client: HttpClient,
    partitions: u16,
    /// Newest epoch that a response has stated.
    epoch: Cell<u64>,
}

/// One page of the newest records.
#[derive(Deserialize)]
struct NewestDocument {
    items: Vec<ItemDocument>,
    #[serde(default)]
    has_more: bool,
    #[serde(default)]
    end: u64,
}

#[serde_as]
#[derive(Deserialize)]
struct ItemDocument {
    key: CompactString,
    /// Content in Base64; missing or empty if the key was removed.
    #[serde_as(as = "Option<Base64>")]
    #[serde(default)]
    value: Option<Vec<u8>>,
}

impl StoreClient {
    /// Creates a client for the store at `address`; `vm` identifies this VM, `partitions` is the number of partitions
    /// of a topic.
    pub fn new(address: &str, vm: &str, partitions: u16) -> Self {
        Self {
            address: address.into(),
            client: HttpClient::new(address, vm),
            partitions: partitions.max(1),
            epoch: Cell::new(0),
        }
    }

    /// Returns the topic and the partition of a feed.
    fn topic_partition(&self, feed: Feed) -> (CompactString, u16) {
        match feed {
            Feed::Operator => ("keyed.op".into(), 0),
            Feed::Upstreams => ("keyed.servers".into(), 0),
            Feed::Crashes => ("keyed.crashes".into(), 0),
            Feed::RolloutStatus => ("keyed.status".into(), 0),
            Feed::Routers => ("keyed.routers".into(), 0),
            Feed::Budgets(slot) => self.slot_partition("keyed.budgets", slot, BUDGET_TOPICS),
            Feed::Journals(slot) => self.slot_partition("keyed.journals", slot, JOURNAL_TOPICS),
        }
    }

    /// Returns the topic and the partition of a slot.
    fn slot_partition(&self, name: &str, slot: u16, topics: u16) -> (CompactString, u16) {
        let topic = slot / self.partitions % topics;
        let name = compact_str::format_compact!("{name}{topic}");
        (name, slot % self.partitions)
    }

    async fn call(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Bytes,
        wait_ms: u64,
    ) -> Result<Response, Error> {
        let timeout = CALL_TIMEOUT + Duration::from_millis(wait_ms);
        let response = self.client.call(step, method, path, body, timeout).await?;
        let epoch = epoch_of(&response.headers).unwrap_or(self.epoch.get());
        if epoch < self.epoch.get() {
            let reason = "the response is from before the store returned from an older copy";
            return Err(self.unknown(step, reason));
        }
        self.epoch.set(epoch);
        Ok(response)
    }

    fn unknown(&self, step: &'static str, reason: impl ToString) -> Error {
        Error::Unknown(step, self.address.clone(), reason.to_string())
    }

    fn refused(&self, step: &'static str, status: StatusCode) -> Error {
        Error::Refused(step, self.address.clone(), status.as_u16())
    }

    async fn read_snapshot(&self, feed: Feed) -> Result<Snapshot, Error> {
        const STEP: &str = "read newest records";
        let (topic, part) = self.topic_partition(feed);
        let mut snapshot = Snapshot::default();
        let mut after: Option<CompactString> = None;
        loop {
            let mut path = format!("/api/log-newest?topic={topic}&part={part}");
            if let Some(after) = &after {
                path.push_str("&after=");
                // Upstreams and other writers choose their keys.
                path.extend(utf8_percent_encode(after, NON_ALPHANUMERIC));
            }
            let Response { status, body, .. } =
                self.call(STEP, Method::GET, &path, Bytes::new(), 0).await?;
            if after.is_none() {
                snapshot.epoch = self.epoch.get();
            } else if snapshot.epoch != self.epoch.get() {
                let reason = "the store returned from an older copy between two pages";
                return Err(self.unknown(STEP, reason));
            }
            match status {
                StatusCode::OK => {}
                // A topic is created by its first record.
                StatusCode::NOT_FOUND => return Ok(snapshot),
                other => return Err(self.refused(STEP, other)),
            }
            let page: NewestDocument =
                serde_json::from_slice(&body).map_err(|error| self.unknown(STEP, error))?;
            // Changes that are made while the pages are read follow the end of the first page, so they are read again
            // as changes.
            if after.is_none() {
                snapshot.end = page.end;
            }
            after = page.items.last().map(|item| item.key.clone());
            snapshot.records.extend(page.items.into_iter().map(|item| {
                Record {
                    key: item.key,
                    value: item
                        .value
                        .filter(|value| !value.is_empty())
                        .map(Bytes::from),
                }
            }));
            if !page.has_more || after.is_none() {
                return Ok(snapshot);
            }
        }
    }

    async fn read_changes(&self, feed: Feed, from: u64, wait_ms: u64) -> Result<Changes, Error> {
        const STEP: &str = "read changes";
        let (topic, part) = self.topic_partition(feed);
        let mut path =
            format!("/api/log-read?topic={topic}&part={part}&from={from}&max_kb={MAX_READ_KB}");
        if wait_ms > 0 {
            path.push_str(&format!("&wait_ms={wait_ms}"));
        }
        let call = self.call(STEP, Method::GET, &path, Bytes::new(), wait_ms);
        let Response { status, body, .. } = call.await?;
        match status {
            StatusCode::OK => {
                let (records, count) = decode_records(body)
                    .ok_or_else(|| self.unknown(STEP, "a record is truncated"))?;
                Ok(Changes::Records {
                    records,
                    end: from + count,
                })
            }
            StatusCode::GONE => Ok(Changes::PositionExpired),
            StatusCode::NOT_FOUND => Ok(Changes::Records {
                records: Vec::new(),
                end: from,
            }),
            other => Err(self.refused(STEP, other)),
        }
    }

    async fn write(
        &self,
        feed: Feed,
        expected_end: Option<u64>,
        record: Record,
    ) -> Result<AppendOutcome, Error> {
        const STEP: &str = "append";
        let (topic, part) = self.topic_partition(feed);
        let mut path = format!("/api/log-append?topic={topic}&part={part}");
        if let Some(end) = expected_end {
            path.push_str(&format!("&at={end}"));
        }
        let body = encode_record(&record)
            .ok_or(Error::NotSent(STEP, "the key is longer than 255 bytes"))?;
        let response = self.call(STEP, Method::POST, &path, body, 0).await?;
        match response.status {
            StatusCode::OK => Ok(AppendOutcome::Written),
            StatusCode::PRECONDITION_FAILED => Ok(AppendOutcome::Moved),
            other => Err(self.refused(STEP, other)),
        }
    }
}

impl Store for StoreClient {
    fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    fn snapshot(&self, feed: Feed) -> LocalBoxFuture<'_, Result<Snapshot, Error>> {
        Box::pin(self.read_snapshot(feed))
    }

    fn changes(
        &self,
        feed: Feed,
        from: u64,
        wait_ms: u64,
    ) -> LocalBoxFuture<'_, Result<Changes, Error>> {
        Box::pin(self.read_changes(feed, from, wait_ms))
    }

    fn append(
        &self,
        feed: Feed,
        expected_end: Option<u64>,
        record: Record,
    ) -> LocalBoxFuture<'_, Result<AppendOutcome, Error>> {
        Box::pin(self.write(feed, expected_end, record))
    }
}

/// Returns the epoch that a response states, if any.
fn epoch_of(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(EPOCH_FIELD)?;
    let epoch = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    if epoch.is_none() {
        log::warn!(step = "store"; "ignored an invalid epoch: {value:?}");
    }
    epoch
}

/// Encodes a keyed record: length of the rest, length of the key, key, content.
///
/// Returns `None` if the length of the key does not fit into its byte.
fn encode_record(record: &Record) -> Option<Bytes> {
    let value = record.value.as_deref().unwrap_or_default();
    let key = record.key.as_bytes();
    let key_length = u8::try_from(key.len()).ok()?;
    let mut output = BytesMut::with_capacity(5 + key.len() + value.len());
    output.put_u32((1 + key.len() + value.len()) as u32);
    output.put_u8(key_length);
    output.put_slice(key);
    output.put_slice(value);
    Some(output.freeze())
}

/// Decodes the response to a read; returns the records with a valid key and the number of all records.
fn decode_records(mut body: Bytes) -> Option<(Vec<Record>, u64)> {
    if body.len() < READ_HEADER_BYTES {
        return None;
    }
    body.advance(READ_HEADER_BYTES);
    let mut records = Vec::new();
    let mut count = 0;
    while !body.is_empty() {
        if body.len() < 4 {
            return None;
        }
        let length = body.get_u32() as usize;
        if body.len() < length {
            return None;
        }
        let mut content = body.split_to(length);
        count += 1;
        if content.is_empty() {
            continue;
        }
        let key_length = content.get_u8() as usize;
        if content.len() < key_length {
            log::warn!(step = "read changes"; "skipped a record with a truncated key");
            continue;
        }
        let key = content.split_to(key_length);
        let Ok(key) = std::str::from_utf8(&key) else {
            log::warn!(step = "read changes"; "skipped a record whose key is not UTF-8");
            continue;
        };
        records.push(Record {
            key: key.into(),
            value: (!content.is_empty()).then_some(content),
        });
    }
    Some((records, count))
}
