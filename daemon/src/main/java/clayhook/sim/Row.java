package clayhook.sim;

import clayhook.Listing.State;

/** One entry of a numbered list as it came on the wire. */
record Row(String node, String zone, boolean primary, int group, State state, long since) {

    static Row parse(Line line) throws BadInput {
        String node = line.text("node");
        String zone = line.text("hall");
        line.maybe("kind");
        boolean primary = line.whole("primary", 0) != 0;
        int group = (int) line.whole("group");
        long number = line.whole("stage_state");
        if (number < 0 || number > 2) {
            throw line.bad("has an unknown stage_state " + number);
        }
        line.maybe("rating");
        return new Row(node, zone, primary, group, State.values()[(int) number], line.whole("since", 0));
    }
}
