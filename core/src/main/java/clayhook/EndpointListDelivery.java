package clayhook;

/**
 * How changes of the endpoint list reach the routers of a deployment, and from when on a router counts as notified.
 *
 * @param pushed whether a change counts as notified as soon as the discovery service has it, whether or not the router
 *     watches the list, from the start of the router's process on; otherwise only once it had time to ask for it
 * @param drainGraceSeconds how long a router that was notified that a node drains may go on sending requests to it;
 *     used only if changes are pushed
 */
public record EndpointListDelivery(boolean pushed, double drainGraceSeconds) {
    /** Changes reach a router only with the answers to its polls. */
    public static final EndpointListDelivery POLLED = new EndpointListDelivery(false, 0);
}
