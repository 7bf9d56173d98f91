"""Runs the cells of an experiment on all cores with a progress bar, and skips cells that have a result."""

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
    """Simulates a cell. Returns its key and its result."""
    return cell.key, measures.play_and_measure(day_of(cell))


def run(
    name: str,
    cells: Iterable[Cell],
    results: Results,
    jobs: int = 0,
    quiet: bool = False,
) -> tuple[int, int]:
    """Simulates the cells without a result in `jobs` processes (0: one for each core).

    Returns the number of cells simulated, and the number that had a result.
    """
    cells_by_key = {cell.key: cell for cell in cells}
    done = results.keys()
    remaining = [cell for key, cell in cells_by_key.items() if key not in done]
    bar = Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        disable=quiet,
    )
    with bar, ProcessPoolExecutor(jobs or os.cpu_count()) as pool:
        task = bar.add_task(name, total=len(cells_by_key), completed=len(cells_by_key) - len(remaining))
        futures = [pool.submit(play, cell) for cell in remaining]
        try:
            for future in as_completed(futures):
                key, result = future.result()
                cell = cells_by_key[key]
                results.add(key, name, cell.labels, cell.seed, result)
                bar.advance(task)
        except BaseException:
            for future in futures:
                future.cancel()
            raise
    return len(remaining), len(cells_by_key) - len(remaining)
