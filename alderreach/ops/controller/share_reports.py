"""Log lines and metrics about customers and their shares of the cell."""

# The number of customers in the metric; each of them is a time series.
MAX_REPORTED_CUSTOMERS = 20


def report(leader):
    """Log which customers send beyond their shares, and update the gauge.

    A customer is logged when it begins and when it is back within its share, not for
    each job. Has to be called at intervals of some hundred milliseconds, since it also
    drops what the shares no longer need.
    """
    now_ms = leader.cell_ms()
    for each in leader.shares.tidy(now_ms):
        leader.environment.record(
            "customer_beyond_share",
            customer=each.customer,
            is_beyond=each.is_beyond,
            covered_in_ms=max(0, round(each.covered_ms - now_ms)),
            use=round(each.use, 2),
        )
    use = leader.shares.use(MAX_REPORTED_CUSTOMERS, now_ms)
    leader.environment.metrics.gauges("customer_share_use", use)
