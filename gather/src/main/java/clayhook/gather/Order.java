package clayhook.gather;

import java.util.Comparator;
import java.util.List;

/** Rows by their keys; equal ones by part and place in it, so that no two rows are alike and ties are stable. */
final class Order implements Comparator<Row> {
    private final int[] slots;
    private final Key[] keys;

    private Order(List<Key> keys, int[] slots) {
        this.keys = keys.toArray(Key[]::new);
        this.slots = slots;
    }

    /** Null where one of the keys is no column that can be ordered. */
    static Order of(List<Key> keys, List<Column> columns, Reading reading) {
        int[] slots = new int[keys.size()];
        for (int i = 0; i < slots.length; i++) {
            int column = Column.find(columns, keys.get(i).column());
            if (column < 0 || Type.of(columns.get(column).type()) == Type.OPAQUE) {
                return null;
            }
            slots[i] = reading.slot(column);
        }
        return new Order(keys, slots);
    }

    @Override
    public int compare(Row a, Row b) {
        int keyed = keys(a, b);
        if (keyed != 0) {
            return keyed;
        }
        return a.part != b.part ? Integer.compare(a.part.number(), b.part.number()) : Long.compare(a.number, b.number);
    }

    /** By the keys alone. */
    int keys(Row a, Row b) {
        for (int i = 0; i < slots.length; i++) {
            int one = compare(keys[i], a.cell(slots[i]), b.cell(slots[i]));
            if (one != 0) {
                return one;
            }
        }
        return 0;
    }

    private static int compare(Key key, Cell a, Cell b) {
        if (a == Cell.NULL || b == Cell.NULL) {
            return a == b ? 0 : (a == Cell.NULL) == key.nullsFirst() ? -1 : 1;
        }
        int compared = a.compareTo(b);
        return key.descending() ? -compared : compared;
    }
}
