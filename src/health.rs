//! Health of upstreams, judged from the results of requests.
