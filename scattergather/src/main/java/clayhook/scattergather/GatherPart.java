package clayhook.scattergather;

/**
 * One source of rows of a gather, such as a replica set or a router.
 *
 * @param number index among the parts of the gather, from 0. Of rows with equal keys, the row of the part with the
 *     lower number comes first.
 */
public record GatherPart(String name, int number) {
    @Override
    public String toString() {
        return name;
    }
}
