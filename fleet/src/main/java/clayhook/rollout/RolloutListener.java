package clayhook.rollout;

/** Receives what operators are to see. */
public interface RolloutListener {
    /** Called on the thread that calls the {@link RolloutController}; must not call it back. */
    void onEvent(RolloutEvent event);
}
