/**
 * Staged rollouts of routing rules: a candidate rule set serves a growing share of sessions beside the baseline, for as
 * long as a majority of routers agrees and the merged counters do not show that the candidate is worse.
 *
 * <p>The package is pure: no I/O, no clock, no threads of its own. It uses only {@code clayhook.fleet} (membership,
 * replicated values, message encoding). Readers start at {@link clayhook.rollout.RolloutController}, the entry point
 * for operators, peers' messages and timers, then {@link clayhook.rollout.RolloutRegistry} for the state and
 * {@link clayhook.rollout.SequentialTest} for the statistics. The design and its sources are in
 * {@code docs/rollouts.md}.
 */
package clayhook.rollout;
