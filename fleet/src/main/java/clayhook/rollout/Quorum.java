package clayhook.rollout;

/** How many of those who vote are a majority: any two majorities have a router in common. */
class Quorum {
    int of(int voters) {
        return voters / 2 + 1;
    }
}
