"""Tests of the report on error budgets and burn rates."""

import xml.etree.ElementTree as ElementTree

import pytest
from endivetally.burn.page import render_page
from endivetally.burn.report import PERIOD_S
from endivetally.burn.report import Alert
from endivetally.burn.report import build_report
from endivetally.burn.table import render_table
from endivetally_core.burn import BurnBucket
from endivetally_core.burn import BurnSnapshot
from endivetally_core.burn import ServiceBurn
from rich.console import Console

NOW_S = 1_000_000


def _snapshot(
    *buckets, entry='entry-1', version=1, service='lookup', availability=0.99
):
    burn = ServiceBurn(service, availability, 1000, list(buckets))
    return BurnSnapshot(entry, version, NOW_S, [burn])


def _bucket(age_s, good, **bad):
    return BurnBucket(NOW_S - age_s, good, bad)


def _report_single_service(*snapshots):
    (service,) = build_report(snapshots).services
    return service


def _burn_rates(service):
    return {window.window_s: window.burn_rate for window in service.windows}


class TestBuildReport:
    @pytest.mark.parametrize(
        ('age_s', 'rates'),
        [
            (10, [10, 10, 10, 10]),
            (400, [0, 10, 10, 10]),
            (2000, [0, 0, 10, 10]),
            (7200, [0, 0, 0, 10]),
            (PERIOD_S, [0, 0, 0, 0]),
        ],
    )
    def test_burn_rate_counts_buckets_inside_its_window(self, age_s, rates):
        service = _report_single_service(_snapshot(_bucket(age_s, 90, overloaded=10)))
        assert list(_burn_rates(service).values()) == rates

    @pytest.mark.parametrize(
        ('good', 'bad', 'budget_left'),
        [(0, 0, 1), (100, 0, 1), (999, 1, 0.9), (99, 1, 0), (90, 10, -9)],
    )
    def test_budget_left_is_unspent_share_of_allowed_errors(
        self, good, bad, budget_left
    ):
        service = _report_single_service(_snapshot(_bucket(10, good, slow=bad)))
        assert service.budget_left == pytest.approx(budget_left, abs=1e-5)

    @pytest.mark.parametrize(
        ('buckets', 'alert'),
        [
            ([_bucket(10, 80, slow=20)], Alert.PAGE),
            ([_bucket(10, 86, slow=14)], Alert.TICKET),
            ([_bucket(10, 95, slow=5)], Alert.NONE),
            ([_bucket(400, 80, slow=20)], Alert.TICKET),
            ([_bucket(400, 80, slow=20), _bucket(10, 9)], Alert.TICKET),
            ([_bucket(3000, 80, slow=20)], Alert.NONE),
            ([_bucket(10, 80, slow=20), _bucket(3000, 9_000)], Alert.NONE),
        ],
    )
    def test_alert_requires_both_windows_to_exceed_threshold(self, buckets, alert):
        assert _report_single_service(_snapshot(*buckets)).alert is alert

    def test_counts_of_entries_are_summed(self):
        service = _report_single_service(
            _snapshot(_bucket(10, 50, slow=1)),
            _snapshot(_bucket(10, 46, slow=2, no_target=1), entry='entry-2'),
        )
        assert [(kind.kind, kind.count) for kind in service.spent_by] == [
            ('slow', 3),
            ('no_target', 1),
        ]
        assert service.spent_by[0].share == 0.75
        assert _burn_rates(service)[300] == 4

    @pytest.mark.parametrize('versions', [(1, 2), (2, 1)])
    def test_objective_of_newest_version_applies(self, versions):
        availability = {1: 0.9, 2: 0.999}
        service = _report_single_service(
            *(
                _snapshot(
                    entry=f'entry-{version}',
                    version=version,
                    availability=availability[version],
                )
                for version in versions
            ),
        )
        assert service.availability == 0.999

    def test_report_without_snapshots_lists_unreachable_entries(self):
        report = build_report([], ['127.0.0.1:1'])
        assert not report.services
        assert report.unreachable == ['127.0.0.1:1']


class TestRendering:
    def test_page_is_escaped_and_self_contained(self):
        snapshot = _snapshot(
            _bucket(10, 90, overloaded=5, slow=5),
            _bucket(900, 100),
            service='a<b',
        )
        page = render_page(build_report([snapshot], ['entry-9']))
        assert 'a&lt;b' in page
        assert 'overloaded 50%' in page
        assert 'entry-9' in page
        assert 'src=' not in page
        assert '<link' not in page
        svg = page[page.index('<svg') : page.index('</svg>') + len('</svg>')]
        assert ElementTree.fromstring(svg).tag.endswith('svg')

    def test_page_without_services_has_no_chart(self):
        assert '<svg' not in render_page(build_report([]))

    def test_table_shows_objective_budget_and_alert(self):
        console = Console(width=200)
        with console.capture() as capture:
            report = build_report([_snapshot(_bucket(10, 90, overloaded=10))])
            console.print(render_table(report))
        for cell in ('99% in 1000 ms', '-900%', 'overloaded', '100%', 'ticket'):
            assert cell in capture.get()
