/**
 * Staged rollouts of routing rules: a candidate set runs for a growing share of sessions, beside the old one, for as
 * long as a majority of routers says so and the merged figures do not speak against it. Pure, as is all of this module;
 * the design and its sources stand in {@code docs/rollouts.md}.
 */
package clayhook.rollout;
