package clayhook.rollout;

/** Receives the events that are reported to operators. */
public interface RolloutListener {
    /** Called on the thread that calls the {@link RolloutController}. Must not call the controller. */
    void onEvent(RolloutEvent event);
}
