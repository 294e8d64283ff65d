#!/usr/bin/env python3
"""Updates the tables and plots of docs/CAPACITY.md from benchmark results.

Runs the benchmark programs, writes their rows "capacity.<metric> n=<size> value=<x>" to
docs/capacity/slopes.csv, fits a line to each metric and calculates the cost of each role at the
target size. With --check it runs no benchmark and fails when the tables of the page differ from
those calculated from the committed CSV file.
"""

import argparse
import csv
import pathlib
import re
import subprocess
import sys

from capacitymodel import ROLES, STORMS, TARGET

ROOT = pathlib.Path(__file__).resolve().parent.parent
SLOPES_CSV = ROOT / "docs" / "capacity" / "slopes.csv"
CAPACITY_PAGE = ROOT / "docs" / "CAPACITY.md"
# Benchmark programs, each with the arguments that make it print its capacity rows.
BENCHMARKS = [["controlbenchmark"], ["spreadbenchmark"], ["flowbenchmark", "capacity"],
              ["requestbenchmark"]]
ROW_PATTERN = re.compile(r"^capacity\.(\w+) n=(\S+) value=(\S+)$")
# Comments in the page before and after each generated table.
MARKERS = {name: (f"<!-- {name}:begin -->", f"<!-- {name}:end -->")
           for name in ("roles", "storms", "slopes")}


def run_benchmarks(build):
    """Returns the capacity rows of all benchmark programs as (metric, size, value)."""
    rows = []
    for name, *arguments in BENCHMARKS:
        command = [str(build / "src" / "benchmarks" / name), *arguments]
        output = subprocess.run(command, check=True, capture_output=True, text=True).stdout
        matches = (ROW_PATTERN.match(line) for line in output.splitlines())
        rows += [(m.group(1), float(m.group(2)), float(m.group(3))) for m in matches if m]
    return sorted(rows)


def read_rows():
    with SLOPES_CSV.open(newline="") as file:
        return [(row["metric"], float(row["n"]), float(row["value"])) for row in csv.DictReader(file)]


def write_rows(rows):
    SLOPES_CSV.parent.mkdir(exist_ok=True)
    with SLOPES_CSV.open("w", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(["metric", "n", "value"])
        writer.writerows((metric, f"{size:g}", f"{value:.6g}") for metric, size, value in rows)


class Fit:
    """Least-squares line of one metric over the size. The residual is the largest distance of a
    point from the line, relative to the largest value."""

    def __init__(self, points):
        self.points = points
        count = len(points)
        mean_n = sum(n for n, _ in points) / count
        mean_v = sum(v for _, v in points) / count
        n_square_sum = sum((n - mean_n) ** 2 for n, _ in points)
        self.slope = sum((n - mean_n) * (v - mean_v)
                         for n, v in points) / n_square_sum if n_square_sum else 0.0
        self.offset = mean_v - self.slope * mean_n
        largest_value = max(abs(v) for _, v in points) or 1.0
        self.residual = max(abs(v - self.line_at(n)) for n, v in points) / largest_value

    def line_at(self, size):
        return self.offset + self.slope * size

    def value_at(self, size):
        """Value at a size: the measured one if the benchmark ran at this size, else that of the
        line, but at least zero."""
        measured = dict(self.points).get(size)
        return measured if measured is not None else max(0.0, self.line_at(size))


def fit_metrics(rows):
    metrics = {}
    for metric, size, value in rows:
        metrics.setdefault(metric, []).append((size, value))
    return {metric: Fit(points) for metric, points in metrics.items()}


def format_number(value):
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:,.0f}"


def model_table(model, fits, headings):
    """Returns the lines of a table and the sum of its values for each resource."""
    lines = ["| " + " | ".join(headings) + " |", "|" + "---|" * len(headings)]
    totals = {}
    for row in model:
        value = row.value(fits)
        totals[row.resource] = totals.get(row.resource, 0.0) + value
        lines.append(f"| {row.role} | {row.mechanism} | {row.resource} | {format_number(value)} | "
                     f"{row.basis} |")
    return lines, totals


def role_table(fits):
    lines, totals = model_table(ROLES, fits, ["role", "mechanism", "resource", "at target size", "worked out from"])
    lines.append("")
    lines.append("| resource | sum of roles | budget | fits |")
    lines.append("|---|---|---|---|")
    for resource, budget in TARGET["budgets"].items():
        total = totals.get(resource, 0.0)
        lines.append(f"| {resource} | {format_number(total)} | {format_number(budget)} | "
                     f"{'yes' if total <= budget else 'no'} |")
    return "\n".join(lines)


def storm_table(fits):
    return "\n".join(model_table(STORMS, fits, ["storm", "mechanism", "resource", "value", "worked out from"])[0])


def slope_table(fits):
    lines = ["| metric | sizes | offset | slope | largest residual |", "|---|---|---|---|---|"]
    for metric, fit in sorted(fits.items()):
        sizes = ", ".join(f"{n:g}" for n, _ in sorted(fit.points))
        lines.append(f"| `{metric}` | {sizes} | {format_number(fit.offset)} | {fit.slope:.3g} | "
                     f"{100 * fit.residual:.1f} % |")
    return "\n".join(lines)


def render_page(page, fits):
    """Returns the page with its generated tables replaced."""
    tables = {"roles": role_table(fits), "storms": storm_table(fits), "slopes": slope_table(fits)}
    for name, table in tables.items():
        begin, end = MARKERS[name]
        head, rest = page.split(begin)
        page = head + begin + "\n" + table + "\n" + end + rest.split(end)[1]
    return page


def write_plots(fits):
    """Writes a plot of each metric beside the CSV file."""
    for metric, fit in fits.items():
        data = "\n".join(f"{n:g} {v:g}" for n, v in sorted(fit.points))
        script = (
            f"set terminal svg size 480,320\nset output '{metric}.svg'\nset title '{metric}' noenhanced\nset key off\n"
            f"set xlabel 'n'\nset yrange [0:*]\n$data << EOD\n{data}\nEOD\n"
            f"plot $data with points pt 7, {fit.offset:g} + {fit.slope:g} * x\n"
        )
        subprocess.run(["gnuplot"], input=script, text=True, check=True, cwd=SLOPES_CSV.parent)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "build")
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    if options.check:
        page = CAPACITY_PAGE.read_text()
        if render_page(page, fit_metrics(read_rows())) != page:
            sys.exit("docs/CAPACITY.md does not follow from docs/capacity/slopes.csv; run make capacity")
        return
    write_rows(run_benchmarks(options.build))
    fits = fit_metrics(read_rows())
    CAPACITY_PAGE.write_text(render_page(CAPACITY_PAGE.read_text(), fits))
    write_plots(fits)


if __name__ == "__main__":
    main()
