package clayhook.rollout;

import clayhook.fleet.Member;

/**
 * The key under which a router replicates the counters of one rollout, stage and request class.
 *
 * @param rolloutId the rollout, see {@link Proposal#id()}
 * @param stage number of the stage, from 1
 * @param member the router whose counters they are
 * @param requestClass the request class, or {@link Guard#ALL_CLASSES}
 */
record CounterKey(String rolloutId, int stage, Member member, String requestClass) {
    private static final char SEPARATOR = '/';
    private static final int FIELDS = 5;

    /**
     * The text form. It contains the length of the member's name because both the name and the request class may
     * contain the separator.
     */
    String encode() {
        return rolloutId
                + SEPARATOR
                + stage
                + SEPARATOR
                + Long.toString(member.incarnation(), Character.MAX_RADIX)
                + SEPARATOR
                + member.name().length()
                + SEPARATOR
                + member.name()
                + SEPARATOR
                + requestClass;
    }

    /** Decodes the text form; returns null for a malformed key. */
    static CounterKey decode(String text) {
        String[] fields = text.split(String.valueOf(SEPARATOR), FIELDS);
        try {
            int nameLength = Integer.parseInt(fields[3]);
            String nameAndClass = fields[4];
            long incarnation = Long.parseLong(fields[2], Character.MAX_RADIX);
            return new CounterKey(
                    fields[0],
                    Integer.parseInt(fields[1]),
                    new Member(nameAndClass.substring(0, nameLength), incarnation),
                    nameAndClass.substring(nameLength + 1));
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            return null;
        }
    }
}
