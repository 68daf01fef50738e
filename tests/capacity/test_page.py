"""Tests the capacity page, the fits behind it, and the link counters."""

import pathlib

import pytest
from endivetally.capacity.counters import LinkCounters
from endivetally.capacity.counters import parse_counters
from endivetally.capacity.counters import sum_counters
from endivetally.capacity.figures import DerivedFigures
from endivetally.capacity.fits import Point
from endivetally.capacity.fits import fit_line
from endivetally.capacity.page import render_page
from endivetally.capacity.page_rows import PageRow
from endivetally.capacity.recording import load_recording
from endivetally.capacity.remedies import NO_REMEDY

DOCS = pathlib.Path(__file__).parents[2] / 'docs'


@pytest.fixture
def recording():
    return load_recording(DOCS / 'capacity' / 'slopes.json')


class TestPage:
    def test_the_committed_page_matches_the_recorded_slopes(self, recording):
        assert (DOCS / 'capacity' / 'keyed.md').read_text() == render_page(recording)

    def test_every_slope_is_the_fit_of_its_points(self, recording):
        for slope in recording.slopes:
            assert len({point.size for point in slope.points}) >= 4
            assert fit_line(slope.points).slope == pytest.approx(slope.fit.slope)

    def test_every_exceeded_limit_has_a_remedy(self, recording):
        assert NO_REMEDY not in render_page(recording)

    def test_the_entries_use_at_most_the_planned_share_at_the_peak(self, recording):
        figures = DerivedFigures(recording)
        assert figures.entry_count * 0.6 >= figures.busy_core_count


class TestFit:
    def test_the_standard_error_is_that_of_the_slope(self):
        fit = fit_line([Point(0, 0), Point(1, 2), Point(2, 1), Point(3, 3)])
        assert fit.slope == pytest.approx(0.8)
        assert fit.standard_error == pytest.approx(0.424264, rel=1e-5)

    def test_fewer_than_three_points_are_rejected(self):
        with pytest.raises(ValueError, match='needs 3'):
            fit_line([Point(0, 0), Point(1, 1)])


class TestPageRow:
    @pytest.mark.parametrize(
        ('amount', 'limit', 'expected'),
        [(5, None, True), (5, 5, True), (5.1, 5, False)],
    )
    def test_an_amount_up_to_its_limit_is_within_it(self, amount, limit, expected):
        assert PageRow('q', 'a', amount, 'MB', limit).is_within_limit == expected


class TestCounters:
    def test_counters_are_parsed_summed_and_subtracted(self):
        exposition = (
            'endivetally_messages_total{message="Grant"} 3\n'
            'endivetally_frames_total 2\n'
            'endivetally_received_bytes_total{} 70\n'
        )
        counters = parse_counters(exposition)
        assert counters == LinkCounters(1, 3, 2, 0, 0, 70)
        assert sum_counters([counters, counters]).increase_since(
            counters
        ) == LinkCounters(2, 3, 2, 0, 0, 70)
