"""
papayaward.protocol.config_diff
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Differences between two configuration texts.
"""

from dataclasses import asdict, dataclass

from .config_text import ConfigError, parse_config

__all__ = ["ConfigChange", "diff_texts", "summarise"]

# Keys of the configuration text and attributes of `FleetConfig`.
_SECTIONS = (
    ("services", "services"),
    ("tenants", "accounts"),
    ("classes", "classes"),
)
_MAX_SUMMARY_CHARACTERS = 300


@dataclass(frozen=True)
class ConfigChange:
    """One difference between two configuration texts.

    Attributes:
        place: Path by name, such as `services.dispatch.cells`.
        before: Value before, None when it was added.
        after: Value after, None when it was removed.
    """

    place: str
    before: object
    after: object

    def __str__(self):
        if self.before is None:
            return f"+ {self.place} {_format(self.after)}"
        if self.after is None:
            return f"- {self.place} {_format(self.before)}"
        return f"~ {self.place} {_format(self.before)} -> {_format(self.after)}"


def diff_texts(before, after):
    """Returns the differences in content as a tuple of `ConfigChange`.

    Args:
        before: Configuration text, str or bytes; empty before the first version.
        after: Validated configuration text, str or bytes.
    """
    after = parse_config(after, allow_unknown=True)
    try:
        before = parse_config(before, allow_unknown=True)
    except ConfigError:
        return tuple(_added(after))
    return tuple(_changes(before, after))


def summarise(changes):
    """Returns the changes as one line of bounded length."""
    if not changes:
        return "no change of the content"
    line = "; ".join(map(str, changes))
    if len(line) <= _MAX_SUMMARY_CHARACTERS:
        return line
    return f"{line[:_MAX_SUMMARY_CHARACTERS]}... ({len(changes)} changes)"


def _added(config):
    yield from (
        ConfigChange(f"{section}.{name}", None, _fields(item))
        for section, attribute in _SECTIONS
        for name, item in getattr(config, attribute).items()
    )
    yield ConfigChange("limits", None, asdict(config.limits))
    for section in ("domains", "domains_out"):
        yield from (
            ConfigChange(section, None, name)
            for name in sorted(getattr(config, section))
        )


def _changes(before, after):
    for section, attribute in _SECTIONS:
        old, new = getattr(before, attribute), getattr(after, attribute)
        # Names in the order of the new text, then the removed ones.
        for name in {**new, **old}:
            place = f"{section}.{name}"
            if name in old and name in new:
                yield from _field_changes(place, old[name], new[name])
            else:
                yield ConfigChange(
                    place, _fields(old.get(name)), _fields(new.get(name))
                )
    yield from _field_changes("limits", before.limits, after.limits)
    for section in ("domains", "domains_out"):
        old, new = set(getattr(before, section)), set(getattr(after, section))
        yield from (ConfigChange(section, name, None) for name in sorted(old - new))
        yield from (ConfigChange(section, None, name) for name in sorted(new - old))


def _field_changes(place, old, new):
    old, new = asdict(old), asdict(new)
    for name, value in old.items():
        if value != new[name]:
            yield ConfigChange(
                f"{place}.{name}", _to_json_value(value), _to_json_value(new[name])
            )


def _fields(item):
    if item is None:
        return None
    return {
        name: _to_json_value(v) for name, v in asdict(item).items() if name != "name"
    }


def _to_json_value(value):
    return list(value) if isinstance(value, tuple) else value


def _format(value):
    if isinstance(value, dict):
        return " ".join(f"{name}={_format(item)}" for name, item in value.items())
    if isinstance(value, list):
        return "[" + ", ".join(value) + "]"
    return f"{value:g}" if isinstance(value, float) else str(value)
