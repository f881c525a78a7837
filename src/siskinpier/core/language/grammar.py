"""The grammar of the query and command language for Lark's LALR parser."""

from typing import Final

GRAMMAR: Final = r"""
question: "services"                -> services
        | "servers" ["of" name]     -> servers
        | "hosts"                   -> hosts
        | "configuration"           -> configuration
        | "claims"                  -> claims
        | "quarantine" ["of" name]  -> quarantine
        | "budgets" ["of" name]     -> budgets
        | "explain" name            -> explain
        | "update" name             -> update
        | "route" METHODS path "at" name ["for" name] -> route

command: order [guard] [wait]
guard: "if" "revision" INTEGER
wait: "wait" [DURATION]

?order: "drain" "server" name "of" name                   -> drain
      | "undrain" "server" name "of" name                 -> undrain
      | "leave" "host" name                               -> leave
      | "stay" "host" name                                -> stay
      | "declare" "calls" METHODS "under" path "of" name traits -> declare
      | "set" limit "of" name "to" (NUMBER | DURATION)    -> set_limit
      | "release" "quarantine" name "of" name             -> release

traits: repeat [urgency] [most_urgent]
repeat: IDEMPOTENT | NON_IDEMPOTENT
urgency: "urgency" INTEGER
most_urgent: "most" "urgent" INTEGER

limit: "probe" "budget" -> probe_budget
     | "probe" "bytes"  -> probe_bytes
     | "retry" "share"  -> retry_share
     | "hedge" "share"  -> hedge_share
     | "queue" "limit"  -> queue_limit
     | "deadline"       -> deadline
     | "key" "age"      -> key_age

name: NAME | STRING
path: PATH | STRING

IDEMPOTENT: "idempotent"
NON_IDEMPOTENT: "non-idempotent"
METHODS: /[A-Za-z]+(,[A-Za-z]+)*/
PATH: /\/[^\s"]*/
NAME: /[A-Za-z0-9_][A-Za-z0-9_.:\-]*/
STRING: /"[^"]*"/
INTEGER: /[0-9]{1,9}(?![0-9A-Za-z.])/
NUMBER: /[0-9]{1,9}(\.[0-9]{1,6})?(?![0-9A-Za-z.])/
DURATION: /[0-9]{1,9}(\.[0-9]{1,6})?(ms|s|m|h)(?![0-9A-Za-z.])/

%ignore /[ \t\r\n]+/
"""

# Descriptions of the terminals in error messages.
TERMINAL_TEXTS: Final = {
    "METHODS": "methods such as GET,HEAD or any",
    "PATH": "a path such as /grants",
    "NAME": "a name",
    "STRING": 'a "quoted text"',
    "INTEGER": "a whole number",
    "NUMBER": "a number",
    "DURATION": "a time such as 500ms, 10s, 5m or 24h",
    "$END": "the end of the text",
    "<END-OF-FILE>": "the end of the text",
}
