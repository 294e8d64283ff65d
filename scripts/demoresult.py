"""Evaluates the promises P1 to P10 from the reports of callers and upstreams."""

BOUND_MS = 5000
IN_FORCE_BOUND_S = 6.0
# Slices of an upstream's timeline: start (Unix ms), packets, probes, new flows, requests.
PACKETS, PROBES, FLOWS, REQUESTS = 1, 2, 3, 4


def sum_between(timeline, columns, begin, end):
    return sum(sum(entry[column] for column in columns) for entry in timeline
               if begin <= entry[0] and (end is None or entry[0] + 100 <= end))


def imbalance(counters, service):
    """Largest over mean number of flows at the upstreams of a service that have flows."""
    flows = [entry["flows"] for name, entry in counters["upstreams"].items()
             if name.split("/")[1] == service and entry["flows"] > 0]
    return max(flows) / (sum(flows) / len(flows)) if flows else 0.0


class Evaluation:
    """Key figures of a run and the promises that it broke."""

    def __init__(self, counters, runs, reports, marks):
        self._upstreams = counters["upstreams"]
        self._names = {entry["id"]: name for name, entry in self._upstreams.items()}
        self._reports = reports
        self._marks = marks
        self.figures = {}
        self.broken = []
        self.broken_feeds = []
        self._count_flows()
        self._count_requests(counters, runs)
        self._count_upstreams()
        self._judge()

    def _requests(self, key):
        return sum(report["requests"][key] for report in self._reports.values())

    def _feeds(self, key):
        return sum(report["feeds"][key] for report in self._reports.values())

    def _is_withdrawn(self, feed):
        """A feed of the withdrawn zone that ended while the zone was out of service."""
        return (self._names.get(feed["upstream"]) in self._marks["zone_upstreams"]
                and feed["unix_ms"] >= self._marks["withdrawn_ms"])

    def _count_flows(self):
        ended = [feed for report in self._reports.values()
                 for feed in report["feeds"]["broken_feeds"]]
        in_zone = [feed for feed in ended if self._is_withdrawn(feed)]
        self.broken_feeds = [feed for feed in ended if not self._is_withdrawn(feed)]
        self.figures["flows"] = self._feeds("opened")
        self.figures["broken_flows"] = len(self.broken_feeds)
        self.figures["flows_in_withdrawn_zone"] = len(in_zone)
        self.figures["wrong_service"] = (
            self._feeds("wrong_service")
            + sum(entry["wrong_service"] for entry in self._upstreams.values()))

    def _count_requests(self, counters, runs):
        ran = [request for report in self._reports.values()
               for request in report["requests"]["not_run_ids"] if str(request) in runs]
        self.figures["requests"] = self._requests("issued")
        self.figures["incomplete_answers"] = (self._requests("incomplete_answers")
                                              + self._requests("wrong_answers"))
        self.figures["duplicate_runs"] = counters["duplicate_runs"]
        self.figures["false_not_run"] = len(ran) + self._requests("conflicting_verdicts")
        self.figures["may_have_run"] = (self._requests("may_have_run")
                                        + self._requests("no_verdict"))
        # Requests whose outcome became unknown while nothing but planned stops of instances
        # happened.
        begin, end = self._marks["restarts_ms"]
        self.figures["interrupted_requests"] = sum(
            1 for report in self._reports.values()
            for request in report["requests"]["unknown_outcomes"]
            if begin <= request["issued_unix_ms"] <= end)

    def _count_upstreams(self):
        marks = self._marks
        zone = [self._upstreams[name]["timeline"] for name in marks["zone_upstreams"]]
        self.figures["packets_to_withdrawn_zone_after_5s"] = sum(
            sum_between(timeline, (PACKETS, PROBES), marks["withdrawn_ms"] + BOUND_MS,
                         marks["returned_ms"]) for timeline in zone)
        drained = self._upstreams[marks["drained"]]["timeline"]
        self.figures["new_work_on_draining_after_5s"] = sum_between(
            drained, (FLOWS, REQUESTS), marks["drained_ms"] + BOUND_MS, None)
        for key in ("cold_overload", "slots_over_limit"):
            self.figures[key] = sum(entry[key] for entry in self._upstreams.values())
        self.figures["imbalance"] = marks["imbalance"]

    def _judge(self):
        figures = self.figures
        slow = [text for text, seconds, _ in self._marks["commands"] if seconds > IN_FORCE_BOUND_S]
        # Without traffic no promise is tested.
        idle = [name for name, report in self._reports.items()
                if not report["feeds"]["opened"]
                or (report["requests"]["issued"] and not report["requests"]["completed"])]
        checks = [
            ("P1", len(idle), "callers without any opened flow or completed request"),
            ("P1", figures["broken_flows"], "broken flows"),
            ("P2", figures["wrong_service"], "packets for another service"),
            ("P3", figures["cold_overload"] + figures["slots_over_limit"],
             "dispatches beyond what an upstream bears"),
            ("P4", figures["packets_to_withdrawn_zone_after_5s"], "packets to the withdrawn zone"),
            ("P5", figures["incomplete_answers"], "incomplete or wrong answers"),
            ("P6", figures["false_not_run"], "requests that ran in spite of 'not run'"),
            ("P7", figures["duplicate_runs"], "repeated runs"),
            ("P8", figures["new_work_on_draining_after_5s"], "new work on a leaving upstream"),
            ("P9", figures["interrupted_requests"], "requests interrupted by planned stops"),
            ("P9", len(self._marks["killed"]), "instances that did not stop by themselves"),
            ("P10", len(slow), "changes in force later than 6 s"),
            ("P10", len(self._marks["reverted"]), "instances with another version than accepted"),
        ]
        self.broken = [f"{promise}: {count} {what}" for promise, count, what in checks if count]

    def line(self):
        return " ".join(f"{key}={value}" for key, value in self.figures.items())
