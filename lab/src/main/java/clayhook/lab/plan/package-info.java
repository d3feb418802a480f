/**
 * The capacity planner: what breaks first, how many nodes a goal needs, what losing a site does. Pure over the model.
 */
package clayhook.lab.plan;
