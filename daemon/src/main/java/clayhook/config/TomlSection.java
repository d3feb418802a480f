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

/**
 * One table of a TOML file, read key by key. Every getter throws a {@link ConfigurationException} that names file, line
 * and key where a value has the wrong type or is out of range. Not thread-safe.
 */
public final class TomlSection {
    private final String file;
    private final String path;
    private final TomlTable table;
    /** Of the table itself, for keys that are missing; null for the file. */
    private final TomlPosition position;

    private final Set<String> readKeys = new HashSet<>();
    private final List<TomlSection> subsections = new ArrayList<>();
    private final Map<String, TomlSection> subsectionsByKey = new HashMap<>();

    private TomlSection(String file, String path, TomlTable table, TomlPosition position) {
        this.file = file;
        this.path = path;
        this.table = table;
        this.position = position;
    }

    /** Parses a file; the section returned is its top level. */
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

    /** Makes the error that a key is invalid, or that a missing one is. */
    public ConfigurationException invalid(String key, String why) {
        TomlPosition at = positionOf(key);
        return new ConfigurationException(file + (at == null ? "" : ":" + at.line()) + ": " + path + key + ": " + why);
    }

    private TomlPosition positionOf(String key) {
        return table.contains(List.of(key)) ? table.inputPositionOf(List.of(key)) : position;
    }

    private <T> T typedValue(String key, Class<T> type, String typeName, T defaultValue) throws ConfigurationException {
        readKeys.add(key);
        Object value = table.get(List.of(key));
        if (value != null && !type.isInstance(value)) {
            throw invalid(key, "is no " + typeName);
        }
        return value == null ? defaultValue : type.cast(value);
    }

    /** A boolean. */
    public boolean getBoolean(String key, boolean defaultValue) throws ConfigurationException {
        return typedValue(key, Boolean.class, "true or false", defaultValue);
    }

    /** A string that is not blank. */
    public String getString(String key, String defaultValue) throws ConfigurationException {
        String text = typedValue(key, String.class, "text", defaultValue);
        if (text != null && text.isBlank()) {
            throw invalid(key, "is empty");
        }
        return text;
    }

    /** A string that must be there. */
    public String getRequiredString(String key) throws ConfigurationException {
        String text = getString(key, null);
        if (text == null) {
            throw invalid(key, "is missing");
        }
        return text;
    }

    /** A number within inclusive bounds. */
    public double getNumber(String key, double defaultValue, double minimum, double maximum)
            throws ConfigurationException {
        Number number = typedValue(key, Number.class, "number", defaultValue);
        if (!(number.doubleValue() >= minimum && number.doubleValue() <= maximum)) {
            throw invalid(key, number + " is not from " + formatNumber(minimum) + " to " + formatNumber(maximum));
        }
        return number.doubleValue();
    }

    /** A whole number within inclusive bounds. */
    public int getInt(String key, int defaultValue, int minimum, int maximum) throws ConfigurationException {
        double number = getNumber(key, defaultValue, minimum, maximum);
        if (number != Math.rint(number)) {
            throw invalid(key, "is no whole number");
        }
        return (int) number;
    }

    private static String formatNumber(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    /** One of the given words. */
    public String getChoice(String key, String defaultValue, Set<String> words) throws ConfigurationException {
        String word = getString(key, defaultValue);
        if (word != null && !words.contains(word)) {
            throw invalid(key, "'" + word + "' is none of " + String.join(", ", new TreeSet<>(words)));
        }
        return word;
    }

    /** A list of strings, each kept once; empty if it is missing. */
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

    /** A numeric address with a port, such as {@code 127.0.0.1:7400}. */
    public InetSocketAddress getAddress(String key, String defaultValue) throws ConfigurationException {
        String text = getString(key, defaultValue);
        return text == null ? null : parseNumericAddress(key, text);
    }

    /** A list of numeric addresses, sorted by their text, each kept once. */
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

    /** A list of whole numbers of at least 0; empty if it is missing. */
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

    /** The table of that name; an empty one if it is missing. */
    public TomlSection getTable(String key) throws ConfigurationException {
        TomlTable found = typedValue(key, TomlTable.class, "table", org.tomlj.Toml.parse(""));
        TomlSection section = subsectionsByKey.get(key);
        if (section == null) {
            section = new TomlSection(file, path + key + ".", found, positionOf(key));
            subsectionsByKey.put(key, section);
            subsections.add(section);
        }
        return section;
    }

    /** An array of tables; empty if it is missing. */
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

    /** Rejects keys that no getter has asked for, in this table and in those read from it. */
    public void rejectUnknownKeys() throws ConfigurationException {
        for (String key : table.keySet()) {
            if (!readKeys.contains(key)) {
                throw invalid(key, "is no key that is known");
            }
        }
        for (TomlSection subsection : subsections) {
            subsection.rejectUnknownKeys();
        }
    }
}
