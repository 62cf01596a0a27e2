from shallotpath.bench import run_weights


async def test_the_experiment_reports_replicas_and_no_mixed_answers(monkeypatch):
    # Guards against an experiment that no longer finishes or counts.
    monkeypatch.setattr("shallotpath.bench._weights.NAIVE_S", 0.5)
    result = await run_weights(4, chunks=16, chunk_bytes=8192, target_s=1.0)
    assert result["replicas"] == result["update_replicas"] == 4
    assert result["mixed"] == 0
    assert result["probes"] > 0
    assert result["origin_copies"] <= 1.5
    assert result["region_copies"] == 1.0
    assert result["update_moved_share"] <= 1.5 * result["update_changed_share"]
    assert result["buffered_bytes_max"] < result["chunk_buffer"]
    assert result["naive_seconds"] > 0
