"""Seeded schedules of faults: the replica survives all of them, and every planted fault is detected."""

from __future__ import annotations

import unittest

from consensus.model import Model
from consensus.mutants import MUTANTS
from consensus.schedules import Profile, play

SCHEDULES = 60  # per profile; model_run.py runs many more
MAX_TRIES = 400  # schedules in which a planted fault has to be detected


class ModelTest(unittest.TestCase):
    """The replica without planted faults."""

    def check(self, profile: Profile) -> None:
        results = [play(seed, Model, profile) for seed in range(SCHEDULES)]
        self.assertEqual([result for result in results if result.fault], [])
        self.assertGreater(sum(result.acknowledged for result in results), 10 * SCHEDULES)
        self.assertGreater(sum(result.reads for result in results), 10 * SCHEDULES)

    def test_all_kinds_of_faults_at_random_times(self):
        self.check(Profile.STORM)

    def test_power_lost_after_votes_and_acknowledgements(self):
        self.check(Profile.POWER)

    def test_short_leaderships(self):
        self.check(Profile.SHORT_TERMS)

    def test_continual_membership_changes(self):
        self.check(Profile.MEMBERS)

    def test_a_seed_gives_the_same_schedule_again(self):
        self.assertEqual(play(7), play(7))


class MutantTest(unittest.TestCase):
    """Planted faults, each with the profile that reveals it."""

    def check_detected(self, mutant: str, profile: Profile, expected: str) -> None:
        model_type = MUTANTS[mutant]
        for seed in range(MAX_TRIES):
            if expected in play(seed, model_type, profile).fault:
                return
        self.fail(f"{mutant} was not detected in {MAX_TRIES} schedules")

    def test_vote_sent_before_it_is_synced(self):
        self.check_detected("VoteNotSynced", Profile.POWER, " votes for ")

    def test_vote_sent_before_it_is_synced_makes_two_leaders(self):
        self.check_detected("VoteNotSynced", Profile.POWER, "both lead in term")

    def test_vote_not_written(self):
        self.check_detected("VoteNotWritten", Profile.POWER, " votes for ")

    def test_entries_acknowledged_before_they_are_durable(self):
        self.check_detected("AcknowledgesBeforeDurable", Profile.POWER, "two entries are committed")

    def test_leader_counts_itself_before_its_write(self):
        self.check_detected("LeaderCountsUndurable", Profile.POWER, "two entries are committed")

    def test_read_without_a_quorum(self):
        self.check_detected("StaleRead", Profile.MEMBERS, "a read at")

    def test_read_before_the_first_commit_of_the_term(self):
        self.check_detected("ReadBeforeFirstCommit", Profile.SHORT_TERMS, "a read at")

    def test_older_terms_entry_committed_by_counting(self):
        self.check_detected("CommitsOlderTermByCounting", Profile.SHORT_TERMS, "two entries are committed")

    def test_one_majority_in_a_joint_change(self):
        self.check_detected("SingleMajority", Profile.MEMBERS, "two entries are committed")

    def test_vote_without_comparing_the_log(self):
        self.check_detected("VotesForStaleLog", Profile.SHORT_TERMS, "two entries are committed")

    def test_old_entries_kept_after_a_snapshot(self):
        self.check_detected("KeepsLogUnderSnapshot", Profile.SHORT_TERMS, "a write leaves a gap")

    def test_wiped_voter_that_keeps_its_id(self):
        self.check_detected("WipedVoterKeepsId", Profile.POWER, "two entries are committed")

    def test_messages_for_the_former_disk_are_accepted(self):
        self.check_detected("AnswersForFormerDisk", Profile.STORM, "two entries are committed")


if __name__ == "__main__":
    unittest.main()
