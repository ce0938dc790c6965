"""Seeded schedules of faults: every one is survived, and every planted fault is found."""

from __future__ import annotations

import unittest

from consensus.model import Model
from consensus.mutants import MUTANTS
from consensus.schedules import Profile, play

SCHEDULES = 60  # of each profile; model_run.py plays many more
MOST_TRIES = 400  # schedules until a planted fault has to be found


class ModelTest(unittest.TestCase):
    """The replica as it is."""

    def check(self, profile: Profile) -> None:
        verdicts = [play(seed, Model, profile) for seed in range(SCHEDULES)]
        self.assertEqual([verdict for verdict in verdicts if verdict.fault], [])
        self.assertGreater(sum(verdict.acknowledged for verdict in verdicts), 10 * SCHEDULES)
        self.assertGreater(sum(verdict.reads for verdict in verdicts), 10 * SCHEDULES)

    def test_every_fault_at_random_moments(self):
        self.check(Profile.STORM)

    def test_power_lost_after_votes_and_acknowledgements(self):
        self.check(Profile.POWER)

    def test_short_reigns(self):
        self.check(Profile.REIGNS)

    def test_members_that_change_all_the_time(self):
        self.check(Profile.MEMBERS)

    def test_a_seed_gives_the_same_schedule_again(self):
        self.assertEqual(play(7), play(7))


class MutantTest(unittest.TestCase):
    """Planted faults, each under the faults that bring it out."""

    def convict(self, mutant: str, profile: Profile, expected: str) -> None:
        model_type = MUTANTS[mutant]
        for seed in range(MOST_TRIES):
            if expected in play(seed, model_type, profile).fault:
                return
        self.fail(f"{mutant} is not found in {MOST_TRIES} schedules")

    def test_vote_told_before_it_is_synced(self):
        self.convict("VoteNotSynced", Profile.POWER, " votes for ")

    def test_vote_told_before_it_is_synced_makes_two_leaders(self):
        self.convict("VoteNotSynced", Profile.POWER, "both lead in term")

    def test_vote_not_written(self):
        self.convict("VoteNotWritten", Profile.POWER, " votes for ")

    def test_entries_acknowledged_before_they_are_durable(self):
        self.convict("AcknowledgesBeforeDurable", Profile.POWER, "two entries are committed")

    def test_leader_counts_itself_before_its_write(self):
        self.convict("LeaderCountsUndurable", Profile.POWER, "two entries are committed")

    def test_read_without_a_quorum(self):
        self.convict("StaleRead", Profile.MEMBERS, "a read at")

    def test_read_before_the_first_commit_of_the_term(self):
        self.convict("ReadBeforeFirstCommit", Profile.REIGNS, "a read at")

    def test_older_terms_entry_committed_by_counting(self):
        self.convict("CommitsOlderTermByCounting", Profile.REIGNS, "two entries are committed")

    def test_one_majority_in_a_joint_change(self):
        self.convict("SingleMajority", Profile.MEMBERS, "two entries are committed")

    def test_vote_without_a_look_at_the_log(self):
        self.convict("VotesForStaleLog", Profile.REIGNS, "two entries are committed")

    def test_old_entries_kept_after_a_snapshot(self):
        self.convict("KeepsLogUnderSnapshot", Profile.REIGNS, "a write leaves a gap")

    def test_wiped_voter_that_keeps_its_id(self):
        self.convict("WipedVoterKeepsId", Profile.POWER, "two entries are committed")

    def test_messages_for_the_disk_before(self):
        self.convict("AnswersForFormerDisk", Profile.STORM, "two entries are committed")


if __name__ == "__main__":
    unittest.main()
