/**
 * The capacity planner: which resource limits growth, how many nodes a goal needs, and the effect of losing a zone.
 * Runs only the model, without any input or output.
 */
package clayhook.lab.plan;
