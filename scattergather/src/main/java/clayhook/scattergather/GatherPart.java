package clayhook.scattergather;

/**
 * One of those that an answer is gathered from, such as a group of nodes or a router.
 *
 * @param number its place among the parts of the gather, from 0; of rows with equal keys the one of the lower number is
 *     first
 */
public record GatherPart(String name, int number) {
    @Override
    public String toString() {
        return name;
    }
}
