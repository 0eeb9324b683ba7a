"""Watches a folder and prints the most that its files held at one time, each counted in whole 512 bytes.

    python folder_watch.py FOLDER SECONDS

Two scans a round: files only grow until they are removed, so the sizes seen in the first scan of the files
that the second one still finds are a lower bound of what the folder held between the two.
"""

import os
import sys
import time

BLOCK = 512


def scan(folder: str) -> dict[str, int]:
    sizes: dict[str, int] = {}
    with os.scandir(folder) as entries:
        for entry in entries:
            try:
                sizes[entry.name] = -(-entry.stat().st_size // BLOCK) * BLOCK
            except FileNotFoundError:
                continue
    return sizes


def main() -> None:
    folder, end = sys.argv[1], time.monotonic() + float(sys.argv[2])
    most, rounds = 0, 0
    first = scan(folder)
    while time.monotonic() < end:
        second = scan(folder)
        rounds += 1
        held = sum(size for name, size in first.items() if second.get(name, -1) >= size)
        if held > most:
            most = held
            print(f"{time.monotonic():.4f} {most}", flush=True)
        first = second
    print(f"rounds {rounds}", flush=True)


if __name__ == "__main__":
    main()
