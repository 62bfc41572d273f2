from bench.patterns.__main__ import row_text, variants
from bench.patterns.outcome import PatternOutcome
from bench.patterns.plot import plot_unserved


def test_variants_change_one_policy_at_a_time():
    names = list(variants())
    assert names[0] == "default"
    assert "overdue never" in names
    assert "overdue spread" not in names
    assert len(names) == len(set(names))


def test_row_has_the_shares_of_all_seeds():
    served, refused = PatternOutcome(), PatternOutcome()
    served.record_done(took_ms=100.0, work_ms=60.0, target_ms=156.0)
    refused.refused += 1
    row = row_text("burst", "default", [served, refused])
    assert row.startswith("| burst | default | 0.5000 | 0.5000 | 0.5000 |")


def test_plot_is_written_also_where_every_job_is_served(tmp_path):
    plot_unserved({"default": {"burst": 0.0, "zone gone": 0.1}}, tmp_path / "plot.png")
    assert (tmp_path / "plot.png").stat().st_size > 1000
