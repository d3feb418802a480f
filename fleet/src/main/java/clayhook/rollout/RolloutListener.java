package clayhook.rollout;

/** Hears what operators are to see; called on the thread that turns the machine. */
public interface RolloutListener {
    void onEvent(RolloutEvent news);
}
