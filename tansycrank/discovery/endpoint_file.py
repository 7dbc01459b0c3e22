"""An endpoint list in a file, for small sites; it is reread when it changes.

A file that is being written may look like a valid one with fewer nodes, or with a number cut short.
So a change is taken once the file has stayed the same for a while; writers that need longer have to
rename a complete file into place.
"""

from __future__ import annotations

import configparser
import os
from pathlib import Path
from typing import NamedTuple

import msgspec

from tansycrank.config import Config
from tansycrank.discovery.endpoint_source import EndpointSource, UpdateCallback
from tansycrank.discovery.feed_lines import FeedLine, LineKind, NodeLine
from tansycrank.discovery.view_messages import LineReceived
from tansycrank.errors import TansycrankError
from tansycrank.routing import EndpointListKind, EndpointListUpdate

POLL_INTERVAL_SECONDS = 1.0
SETTLE_SECONDS = 0.1  # for which a changed file has to stay the same
FILE_EPOCH = 1


class EndpointFileError(TansycrankError):
    """The file has an invalid section or key, which the message names."""


class FileVersion(NamedTuple):
    """What changes when a file is written."""

    modified_ns: int
    size: int
    inode: int

    @classmethod
    def of(cls, status: os.stat_result) -> FileVersion:
        """Return the version of a file by its status."""
        return cls(status.st_mtime_ns, status.st_size, status.st_ino)


class EndpointFile(EndpointSource):
    """A file of `[node ID]` sections with the keys host, port, cell, zone and status."""

    def __init__(self, reactor, config: Config, pools, publish: UpdateCallback, log=None) -> None:
        super().__init__(reactor, config, pools, publish, log)
        self.path = Path(config.roster.file)
        self._read_version: FileVersion | None = None  # of the file as it was last read
        self._seen_version: FileVersion | None = None  # of the file at the last poll
        self._version = 0
        self._poll_timer = None

    def watch(self, on: bool) -> None:
        """Start polling the file when the routing policy asks for it."""
        if on and self._poll_timer is None:
            self._poll()

    def stop(self) -> None:
        """Stop polling."""
        if self._poll_timer is not None and self._poll_timer.active():
            self._poll_timer.cancel()

    def _poll(self) -> None:
        try:
            version = FileVersion.of(self.path.stat())
            has_settled, self._seen_version = version == self._seen_version, version
            if version == self._read_version:
                self._schedule_poll(POLL_INTERVAL_SECONDS)
                return
            if not has_settled:
                self._schedule_poll(SETTLE_SECONDS)
                return
            nodes = read_nodes(self.path)
        except Exception as error:  # whatever a file does to its reader, it is polled again
            self._schedule_poll(POLL_INTERVAL_SECONDS)
            self._on_unreadable(error)
            return
        self._schedule_poll(POLL_INTERVAL_SECONDS)
        self._read_version, self._version = version, self._version + 1
        line = FeedLine(LineKind.SNAPSHOT.value, self._version, FILE_EPOCH, nodes)
        for action in self.view.step(self.now_ms(), [LineReceived(line)]):
            self.carry_out(action)

    def _schedule_poll(self, seconds: float) -> None:
        self._poll_timer = self.reactor.callLater(seconds, self._poll)

    def _on_unreadable(self, error: Exception) -> None:
        """Keep the last list; where there is none yet, the policy requests a watch again."""
        self.log_problem(f"{self.path}: {error}; keeping the last list")
        if self._read_version is None:
            self.publish(EndpointListUpdate(EndpointListKind.FAILED))
            self._poll_timer.cancel()
            self._poll_timer = None


def read_nodes(path: Path) -> tuple[NodeLine, ...]:
    """Return the nodes of an endpoint file; raise EndpointFileError naming section and key."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(path.read_text(encoding="utf-8"), str(path))
    return tuple(_read_node(parser, section) for section in parser.sections())


def _read_node(parser: configparser.ConfigParser, section: str) -> NodeLine:
    section_type, _, node_id = section.partition(" ")
    if section_type != "node":
        raise EndpointFileError(f"[{section}]: only sections [node ID] are allowed")
    fields = dict(parser[section]) | {"id": node_id}
    try:
        return msgspec.convert(fields, NodeLine, strict=False)
    except msgspec.ValidationError as error:
        raise EndpointFileError(f"[{section}]: {error}") from None
