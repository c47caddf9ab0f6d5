"""
papayaward.protocol.config_rules
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Cross-section checks of the configuration text: references, cycles, quotas, deadlines.
"""

from math import fsum

__all__ = ["check_rules"]

# Sums of decimal quotas can exceed 1 slightly in binary, such as ten times 0.1.
_SUM_TOLERANCE = 1e-9
_MAX_CYCLE_NAMES = 8


def check_rules(sections, findings):
    """Adds the findings that concern more than one place of the text.

    Args:
        sections: Dict returned by `config_schema.check_document`. List items are
            None if they already have a finding.
        findings: `Findings`.
    """
    services = sections["services"] or ()
    _check_references(services, findings)
    _check_cycles(services, findings)
    _check_quotas(sections["tenants"], findings)
    _check_deadlines(sections["classes"], sections["limits"], findings)
    known = set(sections["domains"])
    for index, domain in enumerate(sections["domains_out"]):
        if domain is not None and domain not in known:
            findings.add(("domains_out", index), domain, "a name listed in domains")


def _check_references(services, findings):
    known = {service.name for service in services if service is not None}
    for index, service in enumerate(services):
        for position, name in enumerate(service.depends_on if service else ()):
            if name is not None and name not in known:
                path = ("services", index, "depends_on", position)
                findings.add(path, name, "the name of a service in this text")


def _check_cycles(services, findings):
    """Adds one finding for each service at which a cycle closes."""
    index_of = {}
    for index, service in enumerate(services):
        if service is not None and service.name is not None:
            index_of.setdefault(service.name, index)
    finished = set()
    for root in index_of:
        if root in finished:
            continue
        # Depth-first search without recursion, since dependency chains may be long.
        chain, reported = [root], set()
        pending = [enumerate(services[index_of[root]].depends_on)]
        on_chain = {root}
        while chain:
            name = chain[-1]
            for position, other in pending[-1]:
                if other in on_chain and name not in reported:
                    reported.add(name)
                    path = ("services", index_of[name], "depends_on", position)
                    found = _format_cycle(chain[chain.index(other) :] + [other])
                    findings.add_text(path, found, "dependencies without a cycle")
                elif (
                    other in index_of
                    and other not in finished
                    and other not in on_chain
                ):
                    chain.append(other)
                    on_chain.add(other)
                    pending.append(enumerate(services[index_of[other]].depends_on))
                    break
            else:
                finished.add(name)
                on_chain.discard(chain.pop())
                pending.pop()


def _format_cycle(names):
    if len(names) > _MAX_CYCLE_NAMES:
        half = _MAX_CYCLE_NAMES // 2
        names = [*names[:half], "...", *names[-half:]]
    return "the cycle " + " -> ".join(names)


def _check_quotas(accounts, findings):
    quotas = [0.0 if account is None else account.quota for account in accounts]
    total = fsum(quotas)
    if total <= 1.0 + _SUM_TOLERANCE:
        return
    index = next(
        i for i in range(len(quotas)) if fsum(quotas[: i + 1]) > 1.0 + _SUM_TOLERANCE
    )
    found = f"quotas of all tenants that add up to {total:g}"
    findings.add_text(("tenants", index, "quota"), found, "a sum of at most 1")


def _check_deadlines(classes, limits, findings):
    for index, job_class in enumerate(classes):
        if job_class is not None and job_class.deadline_ms > limits.max_deadline_ms:
            allowed = f"at most limits.max_deadline_ms, {limits.max_deadline_ms}"
            path = ("classes", index, "deadline_ms")
            findings.add(path, job_class.deadline_ms, allowed)
