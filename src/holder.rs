//! Spending rights that one process holds on customers' budgets.
