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
public final class TomlSection {
    private final String file;
    private final String path;
    private final TomlTable table;
    /** Where the table stands, for what it lacks. */
    private final TomlPosition position;

    private final Set<String> readKeys = new HashSet<>();
    private final List<TomlSection> subsections = new ArrayList<>();
    private final Map<String, TomlSection> subsectionsByKey = new HashMap<>();

    private TomlSection(String file, String path, TomlTable table, TomlPosition place) {
        this.file = file;
        this.path = path;
        this.table = table;
        this.position = place;
    }

    public static TomlSection read(Path file) throws ConfigurationException {
        TomlParseResult result;
        try {
            result = org.tomlj.Toml.parse(file);
        } catch (IOException e) {
            throw new ConfigurationException(file + ": cannot be read");
        }
        if (result.hasErrors()) {
            var error = result.errors().get(0);
            throw new ConfigurationException(file + ":" + error.position().line() + ": " + error.getMessage());
        }
        return new TomlSection(file.toString(), "", result, null);
    }

    public ConfigurationException invalid(String key, String why) {
        TomlPosition at = table.contains(List.of(key)) ? table.inputPositionOf(List.of(key)) : position;
        return new ConfigurationException(file + (at == null ? "" : ":" + at.line()) + ": " + path + key + ": " + why);
    }

    private <T> T typedValue(String key, Class<T> type, String what, T absent) throws ConfigurationException {
        readKeys.add(key);
        Object value = table.get(List.of(key));
        if (value != null && !type.isInstance(value)) {
            throw invalid(key, "is no " + what);
        }
        return value == null ? absent : type.cast(value);
    }

    public boolean getBoolean(String key, boolean absent) throws ConfigurationException {
        return typedValue(key, Boolean.class, "true or false", absent);
    }

    public String getString(String key, String absent) throws ConfigurationException {
        String text = typedValue(key, String.class, "text", absent);
        if (text != null && text.isBlank()) {
            throw invalid(key, "is empty");
        }
        return text;
    }

    public String getRequiredString(String key) throws ConfigurationException {
        String text = getString(key, null);
        if (text == null) {
            throw invalid(key, "is missing");
        }
        return text;
    }

    public double getNumber(String key, double absent, double least, double most) throws ConfigurationException {
        Number number = typedValue(key, Number.class, "number", absent);
        if (!(number.doubleValue() >= least && number.doubleValue() <= most)) {
            throw invalid(key, number + " is not from " + formatNumber(least) + " to " + formatNumber(most));
        }
        return number.doubleValue();
    }

    public int getInt(String key, int absent, int least, int most) throws ConfigurationException {
        double number = getNumber(key, absent, least, most);
        if (number != Math.rint(number)) {
            throw invalid(key, "is no whole number");
        }
        return (int) number;
    }

    private static String formatNumber(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    /** One of a few words. */
    public String getChoice(String key, String absent, Set<String> words) throws ConfigurationException {
        String word = getString(key, absent);
        if (word != null && !words.contains(word)) {
            throw invalid(key, "'" + word + "' is none of " + String.join(", ", new TreeSet<>(words)));
        }
        return word;
    }

    public Set<String> getStringSet(String key) throws ConfigurationException {
        var texts = new HashSet<String>();
        for (Object text : getList(key)) {
            if (!(text instanceof String string) || string.isBlank()) {
                throw invalid(key, "is no list of texts");
            }
            texts.add(string);
        }
        return Set.copyOf(texts);
    }

    /** An address and port in figures. */
    public InetSocketAddress getAddress(String key, String absent) throws ConfigurationException {
        String text = getString(key, absent);
        return text == null ? null : parseNumericAddress(key, text);
    }

    /** Several of them, each once. */
    public List<InetSocketAddress> getAddresses(String key) throws ConfigurationException {
        var addresses = new ArrayList<InetSocketAddress>();
        for (String text : new TreeSet<>(getStringSet(key))) {
            addresses.add(parseNumericAddress(key, text));
        }
        return List.copyOf(addresses);
    }

    private InetSocketAddress parseNumericAddress(String key, String text) throws ConfigurationException {
        InetSocketAddress address = EndpointList.parseAddress(text);
        if (address == null) {
            throw invalid(key, "'" + text + "' is no address and port in figures");
        }
        return address;
    }

    public List<Integer> getIntList(String key) throws ConfigurationException {
        var numbers = new ArrayList<Integer>();
        for (Object number : getList(key)) {
            if (!(number instanceof Long whole) || whole < 0 || whole > Integer.MAX_VALUE) {
                throw invalid(key, "is no list of whole numbers");
            }
            numbers.add(whole.intValue());
        }
        return List.copyOf(numbers);
    }

    private List<Object> getList(String key) throws ConfigurationException {
        TomlArray array = typedValue(key, TomlArray.class, "list", null);
        return array == null ? List.of() : array.toList();
    }

    /** The table of that name, empty if there is none. */
    public TomlSection getTable(String key) throws ConfigurationException {
        TomlTable found = typedValue(key, TomlTable.class, "table", org.tomlj.Toml.parse(""));
        TomlSection known = subsectionsByKey.get(key);
        if (known == null) {
            known = new TomlSection(
                    file,
                    path + key + ".",
                    found,
                    table.contains(List.of(key)) ? table.inputPositionOf(List.of(key)) : position);
            subsectionsByKey.put(key, known);
            subsections.add(known);
        }
        return known;
    }

    /** The tables of a list. */
    public List<TomlSection> getTables(String key) throws ConfigurationException {
        TomlArray array = typedValue(key, TomlArray.class, "list of tables", null);
        var tables = new ArrayList<TomlSection>();
        for (int i = 0; array != null && i < array.size(); i++) {
            if (!(array.get(i) instanceof TomlTable found)) {
                throw invalid(key, "is no list of tables");
            }
            tables.add(new TomlSection(file, path + key + ".", found, array.inputPositionOf(i)));
        }
        subsections.addAll(tables);
        return tables;
    }

    /** Throws if there are keys that nothing has read. */
    public void rejectUnknownKeys() throws ConfigurationException {
        for (String key : table.keySet()) {
            if (!readKeys.contains(key)) {
                throw invalid(key, "is no key that is known");
            }
        }
        for (TomlSection toml : subsections) {
            toml.rejectUnknownKeys();
        }
    }
}
