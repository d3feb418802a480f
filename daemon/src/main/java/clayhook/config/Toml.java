package clayhook.config;

import clayhook.discovery.EndpointList;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** One table of a TOML file, read key by key; what is wrong is told with file, line and key. */
public final class Toml {
    private final String file;
    private final String path;
    private final TomlTable table;
    /** Where the table stands, for what it lacks. */
    private final TomlPosition place;

    private final Set<String> read = new HashSet<>();
    private final List<Toml> inner = new ArrayList<>();
    private final Map<String, Toml> named = new HashMap<>();

    private Toml(String file, String path, TomlTable table, TomlPosition place) {
        this.file = file;
        this.path = path;
        this.table = table;
        this.place = place;
    }

    public static Toml read(Path file) throws BadConfig {
        TomlParseResult result;
        try {
            result = org.tomlj.Toml.parse(file);
        } catch (IOException e) {
            throw new BadConfig(file + ": cannot be read");
        }
        if (result.hasErrors()) {
            var error = result.errors().get(0);
            throw new BadConfig(file + ":" + error.position().line() + ": " + error.getMessage());
        }
        return new Toml(file.toString(), "", result, null);
    }

    public BadConfig fault(String key, String why) {
        TomlPosition at = table.contains(List.of(key)) ? table.inputPositionOf(List.of(key)) : place;
        return new BadConfig(file + (at == null ? "" : ":" + at.line()) + ": " + path + key + ": " + why);
    }

    private <T> T value(String key, Class<T> type, String what, T absent) throws BadConfig {
        read.add(key);
        Object value = table.get(List.of(key));
        if (value != null && !type.isInstance(value)) {
            throw fault(key, "is no " + what);
        }
        return value == null ? absent : type.cast(value);
    }

    public boolean flag(String key, boolean absent) throws BadConfig {
        return value(key, Boolean.class, "true or false", absent);
    }

    public String text(String key, String absent) throws BadConfig {
        String text = value(key, String.class, "text", absent);
        if (text != null && text.isBlank()) {
            throw fault(key, "is empty");
        }
        return text;
    }

    public String needed(String key) throws BadConfig {
        String text = text(key, null);
        if (text == null) {
            throw fault(key, "is missing");
        }
        return text;
    }

    public double number(String key, double absent, double least, double most) throws BadConfig {
        Number number = value(key, Number.class, "number", absent);
        if (!(number.doubleValue() >= least && number.doubleValue() <= most)) {
            throw fault(key, number + " is not from " + plain(least) + " to " + plain(most));
        }
        return number.doubleValue();
    }

    public int whole(String key, int absent, int least, int most) throws BadConfig {
        double number = number(key, absent, least, most);
        if (number != Math.rint(number)) {
            throw fault(key, "is no whole number");
        }
        return (int) number;
    }

    private static String plain(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    /** One of a few words. */
    public String word(String key, String absent, Set<String> words) throws BadConfig {
        String word = text(key, absent);
        if (word != null && !words.contains(word)) {
            throw fault(key, "'" + word + "' is none of " + String.join(", ", new TreeSet<>(words)));
        }
        return word;
    }

    public Set<String> texts(String key) throws BadConfig {
        var texts = new HashSet<String>();
        for (Object text : list(key)) {
            if (!(text instanceof String string) || string.isBlank()) {
                throw fault(key, "is no list of texts");
            }
            texts.add(string);
        }
        return Set.copyOf(texts);
    }

    /** An address and port in figures. */
    public InetSocketAddress address(String key, String absent) throws BadConfig {
        String text = text(key, absent);
        return text == null ? null : numeric(key, text);
    }

    /** Several of them, each once. */
    public List<InetSocketAddress> addresses(String key) throws BadConfig {
        var addresses = new ArrayList<InetSocketAddress>();
        for (String text : new TreeSet<>(texts(key))) {
            addresses.add(numeric(key, text));
        }
        return List.copyOf(addresses);
    }

    private InetSocketAddress numeric(String key, String text) throws BadConfig {
        InetSocketAddress address = EndpointList.parseAddress(text);
        if (address == null) {
            throw fault(key, "'" + text + "' is no address and port in figures");
        }
        return address;
    }

    public List<Integer> wholes(String key) throws BadConfig {
        var numbers = new ArrayList<Integer>();
        for (Object number : list(key)) {
            if (!(number instanceof Long whole) || whole < 0 || whole > Integer.MAX_VALUE) {
                throw fault(key, "is no list of whole numbers");
            }
            numbers.add(whole.intValue());
        }
        return List.copyOf(numbers);
    }

    private List<Object> list(String key) throws BadConfig {
        TomlArray array = value(key, TomlArray.class, "list", null);
        return array == null ? List.of() : array.toList();
    }

    /** The table of that name, empty if there is none. */
    public Toml table(String key) throws BadConfig {
        TomlTable found = value(key, TomlTable.class, "table", org.tomlj.Toml.parse(""));
        Toml known = named.get(key);
        if (known == null) {
            known = new Toml(
                    file,
                    path + key + ".",
                    found,
                    table.contains(List.of(key)) ? table.inputPositionOf(List.of(key)) : place);
            named.put(key, known);
            inner.add(known);
        }
        return known;
    }

    /** The tables of a list. */
    public List<Toml> tables(String key) throws BadConfig {
        TomlArray array = value(key, TomlArray.class, "list of tables", null);
        var tables = new ArrayList<Toml>();
        for (int i = 0; array != null && i < array.size(); i++) {
            if (!(array.get(i) instanceof TomlTable found)) {
                throw fault(key, "is no list of tables");
            }
            tables.add(new Toml(file, path + key + ".", found, array.inputPositionOf(i)));
        }
        inner.addAll(tables);
        return tables;
    }

    /** Throws if there are keys that nothing has read. */
    public void nothingElse() throws BadConfig {
        for (String key : table.keySet()) {
            if (!read.contains(key)) {
                throw fault(key, "is no key that is known");
            }
        }
        for (Toml toml : inner) {
            toml.nothingElse();
        }
    }
}
