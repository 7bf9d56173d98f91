"""Cells over all cores, with a progress bar; what is done already is not played again."""

from __future__ import annotations

import os
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed
from typing import Any

from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

from honeywharf.lab import measures
from honeywharf.lab.experiments import Cell, day_of
from honeywharf.lab.results import Results


def play(cell: Cell) -> tuple[str, dict[str, Any]]:
    """One cell, in whatever process: its key and what came of it."""
    return cell.key, measures.play_and_measure(day_of(cell))


def run(
    name: str,
    cells: Iterable[Cell],
    results: Results,
    jobs: int = 0,
    quiet: bool = False,
) -> tuple[int, int]:
    """Play what is not done yet, on so many cores (0: all); how many were played and how many were there."""
    wanted = {cell.key: cell for cell in cells}
    done = results.keys()
    left = [cell for key, cell in wanted.items() if key not in done]
    bar = Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        disable=quiet,
    )
    with bar, ProcessPoolExecutor(jobs or os.cpu_count()) as pool:
        task = bar.add_task(name, total=len(wanted), completed=len(wanted) - len(left))
        waiting = [pool.submit(play, cell) for cell in left]
        try:
            for one in as_completed(waiting):
                key, result = one.result()
                cell = wanted[key]
                results.add(key, name, cell.labels, cell.seed, result)
                bar.advance(task)
        except BaseException:
            for one in waiting:
                one.cancel()
            raise
    return len(left), len(wanted) - len(left)
