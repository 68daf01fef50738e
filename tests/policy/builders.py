"""Builders of agents and queued tasks for the policy tests."""

from endivetally_config.operator_config import ServiceKind
from endivetally_core.joining import AgentIdentity
from endivetally_core.messages import AttemptId
from endivetally_policy.scheduling import PendingTask

SERVICE = 'lookup'


def identity(number, data_centre='dc1', service=SERVICE, slots=8):
    return AgentIdentity(
        name=f'agent-{number}',
        incarnation=f'agent-{number}.0',
        data_centre=data_centre,
        rack=f'rack-{number // 3}',
        service=service,
        slots=slots,
        connections=64,
        memory_mb=32_768,
    )


def task(number=0, sequence=0, team='a', **fields):
    values = {
        'service': SERVICE,
        'kind': ServiceKind.IDEMPOTENT,
        'priority': 1,
        'weight': 1,
        'deadline': 10.0,
        'enqueued_at': 0.0,
    }
    values.update(fields)
    attempt_id = AttemptId('entry-1.0', sequence, number, 0)
    return PendingTask(attempt_id=attempt_id, team=team, **values)


def join(scheduler, count, granted=0, **fields):
    for number in range(count):
        agent = identity(number, **fields)
        scheduler.add_agent(agent, 0.0)
        scheduler.add_credits(agent.incarnation, granted, 0.0)
