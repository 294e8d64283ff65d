"""Checks the promises P1 to P10 of docs/design.md with the counters and reports of callers and
upstreams. Each check counts events that must not occur and names them."""

# From a zone withdrawal to the last packet to the zone, and from the drain of an upstream to the
# last new flow or request for it.
STOP_LIMIT_MS = 5000
# From an operator command to the change in force at all instances.
IN_FORCE_LIMIT_S = 6.0
# Columns of an entry in the timeline of an upstream. Column 0 is the start of the entry in Unix ms.
PACKETS, PROBES, FLOWS, REQUESTS = 1, 2, 3, 4


def sum_between(timeline, columns, begin, end):
    """Sums the columns of the entries that lie between two times in Unix ms. An entry covers 100
    ms. If end is None, the sum includes all entries from begin."""
    return sum(sum(entry[column] for column in columns) for entry in timeline
               if begin <= entry[0] and (end is None or entry[0] + 100 <= end))


def imbalance(counters, service):
    """Ratio of the largest to the mean number of flows, over the upstreams of a service that have
    flows."""
    flows = [entry["flows"] for name, entry in counters["upstreams"].items()
             if name.split("/")[1] == service and entry["flows"] > 0]
    return max(flows) / (sum(flows) / len(flows)) if flows else 0.0


class Evaluation:
    """Figures of a run and the promises that it broke. counters and runs come from the upstreams,
    reports from the callers by name; record holds the times and results of the scenario."""

    def __init__(self, counters, runs, reports, record):
        self._upstreams = counters["upstreams"]
        self._upstream_names = {entry["id"]: name for name, entry in self._upstreams.items()}
        self._reports = reports
        self._record = record
        self.figures = {}
        self.broken_promises = []
        self.broken_feeds = []
        self._count_flows()
        self._count_requests(counters, runs)
        self._count_upstreams()
        self._check_promises()

    def _sum_requests(self, key):
        return sum(report["requests"][key] for report in self._reports.values())

    def _sum_feeds(self, key):
        return sum(report["feeds"][key] for report in self._reports.values())

    def _ended_in_withdrawn_zone(self, feed):
        """True for a feed to an upstream of the withdrawn zone that ended after the withdrawal."""
        return (self._upstream_names.get(feed["upstream"]) in self._record["zone_upstreams"]
                and feed["unix_ms"] >= self._record["withdrawn_ms"])

    def _count_flows(self):
        ended_feeds = [feed for report in self._reports.values()
                       for feed in report["feeds"]["broken_feeds"]]
        in_withdrawn_zone = [feed for feed in ended_feeds if self._ended_in_withdrawn_zone(feed)]
        self.broken_feeds = [feed for feed in ended_feeds
                             if not self._ended_in_withdrawn_zone(feed)]
        self.figures["flows"] = self._sum_feeds("opened")
        self.figures["broken_flows"] = len(self.broken_feeds)
        self.figures["flows_in_withdrawn_zone"] = len(in_withdrawn_zone)
        self.figures["wrong_service"] = (
            self._sum_feeds("wrong_service")
            + sum(entry["wrong_service"] for entry in self._upstreams.values()))

    def _count_requests(self, counters, runs):
        # Requests that an upstream ran although the caller got the verdict "not run".
        ran_despite_not_run = [request for report in self._reports.values()
                               for request in report["requests"]["not_run_ids"]
                               if str(request) in runs]
        self.figures["requests"] = self._sum_requests("issued")
        self.figures["incomplete_answers"] = (self._sum_requests("incomplete_answers")
                                              + self._sum_requests("wrong_answers"))
        self.figures["duplicate_runs"] = counters["duplicate_runs"]
        self.figures["false_not_run"] = len(
            ran_despite_not_run) + self._sum_requests("conflicting_verdicts")
        self.figures["may_have_run"] = (self._sum_requests("may_have_run")
                                        + self._sum_requests("no_verdict"))
        # Requests with an unknown outcome that were issued while instances were stopped and
        # restarted one by one and the scenario changed nothing else.
        begin, end = self._record["restarts_ms"]
        self.figures["interrupted_requests"] = sum(
            1 for report in self._reports.values()
            for request in report["requests"]["unknown_outcomes"]
            if begin <= request["issued_unix_ms"] <= end)

    def _count_upstreams(self):
        record = self._record
        zone_timelines = [self._upstreams[name]["timeline"] for name in record["zone_upstreams"]]
        self.figures["packets_to_withdrawn_zone_after_5s"] = sum(
            sum_between(timeline, (PACKETS, PROBES), record["withdrawn_ms"] + STOP_LIMIT_MS,
                         record["returned_ms"]) for timeline in zone_timelines)
        drained_timeline = self._upstreams[record["drained"]]["timeline"]
        self.figures["new_work_on_draining_after_5s"] = sum_between(
            drained_timeline, (FLOWS, REQUESTS), record["drained_ms"] + STOP_LIMIT_MS, None)
        for key in ("cold_overload", "slots_over_limit"):
            self.figures[key] = sum(entry[key] for entry in self._upstreams.values())
        self.figures["imbalance"] = record["imbalance"]

    def _check_promises(self):
        figures = self.figures
        late_commands = [text for text, seconds, _ in self._record["commands"]
                         if seconds > IN_FORCE_LIMIT_S]
        # Without traffic the other checks would pass without having tested anything.
        idle_callers = [name for name, report in self._reports.items()
                        if not report["feeds"]["opened"]
                        or (report["requests"]["issued"] and not report["requests"]["completed"])]
        checks = [
            ("P1", len(idle_callers), "callers without any opened flow or completed request"),
            ("P1", figures["broken_flows"], "broken flows"),
            ("P2", figures["wrong_service"], "packets for another service"),
            ("P3", figures["cold_overload"] + figures["slots_over_limit"],
             "dispatches above the slot limit or the cold-start limit of an upstream"),
            ("P4", figures["packets_to_withdrawn_zone_after_5s"], "packets to the withdrawn zone"),
            ("P5", figures["incomplete_answers"], "incomplete or wrong answers"),
            ("P6", figures["false_not_run"], "requests that ran in spite of the verdict 'not run'"),
            ("P7", figures["duplicate_runs"], "duplicate runs of requests"),
            ("P8", figures["new_work_on_draining_after_5s"],
             "new flows and requests on a draining upstream"),
            ("P9", figures["interrupted_requests"], "requests interrupted by planned stops"),
            ("P9", len(self._record["killed"]), "instances that did not stop with exit status 0"),
            ("P10", len(late_commands), "changes in force later than 6 s"),
            ("P10", len(self._record["reverted"]),
             "document versions that decreased or stayed behind"),
        ]
        self.broken_promises = [f"{promise}: {count} {what}"
                                for promise, count, what in checks if count]

    def figures_line(self):
        """Returns the figures as key=value pairs."""
        return " ".join(f"{key}={value}" for key, value in self.figures.items())
