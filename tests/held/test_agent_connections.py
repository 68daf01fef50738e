"""What an entry concludes from the messages of its agents."""

import asyncio

import pytest
from differential.clock import run_virtually
from endivetally_core.events import EventLog
from endivetally_core.joining import Address
from endivetally_held.agent_connections import AgentConnections
from endivetally_held.agent_connections import AgentListener
from endivetally_held.agent_connections import AgentPeer
from endivetally_held.channel import Channel
from endivetally_held.jobs import TaskKey
from endivetally_held.messages import AgentHello
from endivetally_held.messages import RunEnded
from endivetally_held.messages import RunRequest
from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd

TASK = TaskKey('j', 0, 0)


class Recorder(AgentListener):
    """Records the tasks that were active when an agent was lost."""

    def __init__(self):
        self.lost = []

    def agent_state_changed(self, peer):
        """Ignore the state."""

    def run_ended(self, peer, ended):
        """Ignore the end."""

    def target_crashed(self, peer, message):
        """Ignore the crash."""

    def agent_disconnected(self, peer):
        self.lost.extend(peer.active_tasks)


@pytest.mark.parametrize(('ended_run', 'lost'), [(1, [TASK]), (2, [])])
def test_late_end_of_an_earlier_run_does_not_hide_the_newest_run_of_a_lost_agent(
    ended_run, lost
):
    async def scenario():
        clock = asyncio.get_running_loop().time
        listener = Recorder()
        events = EventLog('test', 'test', write=lambda lines: None)
        connections = AgentConnections('entry.1', 'dc', listener, events, clock)
        channel = Channel(None, clock)
        peer = AgentPeer(AgentHello('agent.1', 'dc'), channel, Address('agent', 1))
        connections.add_peer(peer)
        peer.start_runs([RunRequest(TASK, 2)], '', Resources(1, 1), 1, 1, 1)
        connections.handle_messages(peer, [RunEnded(TASK, ended_run, RunEnd.STOPPED)])
        connections.remove_peer(peer, 'silent')
        assert listener.lost == lost

    run_virtually(scenario())
