"""Look-up of the workspace that a caller's key belongs to."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from hmac import compare_digest
from typing import Final

from ..configuration.intents import Workspace

# Digits of a digest that index the table. The whole digest is compared, in constant
# time.
INDEX_CHARS: Final = 8


@dataclass(slots=True, kw_only=True)
class WorkspaceTable:
    """The workspaces in force, by the first digits of their keys' digests."""

    by_index: dict[str, list[tuple[str, Workspace]]] = field(default_factory=dict)

    def find(self, key_digest: str) -> Workspace | None:
        """Return the workspace of a key, or None if the key is not in force."""
        found: Workspace | None = None
        for digest, workspace in self.by_index.get(key_digest[:INDEX_CHARS], ()):
            if compare_digest(digest, key_digest):
                found = workspace
        return found


def make_workspace_table(workspaces: Iterable[Workspace]) -> WorkspaceTable:
    """Return the table of the workspaces."""
    table = WorkspaceTable()
    for workspace in workspaces:
        for digest in workspace.key_digests:
            rows = table.by_index.setdefault(digest[:INDEX_CHARS], [])
            rows.append((digest, workspace))
    return table
