/**
 * Staged rollouts of routing rules: a candidate rule set serves a growing share of sessions while the baseline serves
 * the others, as long as a majority of routers agrees and the merged counters do not show that the candidate is worse.
 *
 * <p>The package does no I/O, reads no clock and has no threads of its own. It depends only on {@code clayhook.fleet}
 * (membership, replicated values, message encoding). The entry point for operators' requests, peers' messages and
 * timers is {@link clayhook.rollout.RolloutController}. {@link clayhook.rollout.RolloutRegistry} holds the state, and
 * {@link clayhook.rollout.SequentialTest} contains the statistics. {@code docs/rollouts.md} describes the design and
 * its sources.
 */
package clayhook.rollout;
