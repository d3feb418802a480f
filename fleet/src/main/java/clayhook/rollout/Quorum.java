package clayhook.rollout;

/** How many of those who vote are a majority: any two majorities have a router in common. */
class Quorum {
    int majorityOf(int voters) {
        return voters / 2 + 1;
    }
}
