"""Tests of the log lines that a process writes to standard output."""

from __future__ import annotations

import json
import logging
import subprocess
import sys
import unittest

from merlintrestle import logs

_PROGRAM = """
import logging, pathlib, sys
from merlintrestle import events, logs
logs.start_logging("info", sys.argv[1])
log = events.EventLog("requests")
log.write(logging.INFO, "picked", {"upstream": "a:1", "left_ms": 7}, at=1.25)
log.warn("reload refused", path=pathlib.PurePosixPath("/etc/node.conf"))
try:
    raise ValueError("no such thing")
except ValueError as error:
    log.write(logging.ERROR, "request crashed", {}, exception=error)
logging.getLogger("grpc").warning("lost %s", "a:2")
logging.getLogger("aiohttp").info("not written")
"""


def _run(log_format: str) -> list[str]:
    completed = subprocess.run(
        [sys.executable, "-c", _PROGRAM, log_format],
        capture_output=True,
        check=True,
        text=True,
        timeout=60,
    )
    return completed.stdout.splitlines()


class LinesTest(unittest.TestCase):
    """Each line contains time, part, event and fields."""

    def test_json_lines_contain_the_whole_event(self) -> None:
        picked, refused, crashed, lost = map(json.loads, _run("json"))
        self.assertEqual(
            picked,
            {
                "time": "1970-01-01T00:00:01.250Z",
                "level": "info",
                "part": "requests",
                "event": "picked",
                "upstream": "a:1",
                "left_ms": 7,
            },
        )
        self.assertEqual(refused["path"], "/etc/node.conf")
        self.assertEqual(refused["level"], "warning")
        self.assertIn("no such thing", crashed["exception"])
        self.assertIn("Traceback", crashed["exception"])
        self.assertEqual((lost["part"], lost["event"]), ("grpc", "lost a:2"))

    def test_text_lines_contain_the_whole_event(self) -> None:
        picked, refused = _run("text")[:2]
        self.assertRegex(
            picked,
            r"^\d{4}-\S+ \S+ INFO    requests: picked upstream=a:1 left_ms=7$",
        )
        self.assertIn("WARNING requests: reload refused", refused)

    def test_times_of_one_second_differ_in_milliseconds(self) -> None:
        formatter = logs.JsonFormatter()
        times = []
        for at in (59.999, 60.0, 60.5, 59.25):
            record = logging.makeLogRecord({"msg": "a: b", "at": at})
            times.append(json.loads(formatter.format(record))["time"][-13:])
        self.assertEqual(
            times,
            [
                "00:00:59.999Z",
                "00:01:00.000Z",
                "00:01:00.500Z",
                "00:00:59.250Z",
            ],
        )


if __name__ == "__main__":
    unittest.main()
