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
 * One table of a TOML file, read key by key. If a value has the wrong type or is out of range, its getter throws a
 * {@link ConfigurationException} that names file, line and key. Not thread-safe.
 */
public final class TomlSection {
    private final String file;
    private final String path;
    private final TomlTable table;
    /** The position of the table itself, which errors about missing keys report; null for the top level. */
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

    /** Parses a file and returns its top-level table. */
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

    /** Creates an exception for a key that is invalid or missing; the message names file, line, key and reason. */
    public ConfigurationException invalid(String key, String reason) {
        TomlPosition keyPosition = positionOf(key);
        return new ConfigurationException(
                file + (keyPosition == null ? "" : ":" + keyPosition.line()) + ": " + path + key + ": " + reason);
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

    /** Returns a boolean. */
    public boolean getBoolean(String key, boolean defaultValue) throws ConfigurationException {
        return typedValue(key, Boolean.class, "true or false", defaultValue);
    }

    /** Returns a string, which must not be blank. */
    public String getString(String key, String defaultValue) throws ConfigurationException {
        String text = typedValue(key, String.class, "text", defaultValue);
        if (text != null && text.isBlank()) {
            throw invalid(key, "is empty");
        }
        return text;
    }

    /** Returns a string that must be present and not blank. */
    public String getRequiredString(String key) throws ConfigurationException {
        String text = getString(key, null);
        if (text == null) {
            throw invalid(key, "is missing");
        }
        return text;
    }

    /** Returns a number, which must be within the inclusive bounds. */
    public double getNumber(String key, double defaultValue, double minimum, double maximum)
            throws ConfigurationException {
        Number number = typedValue(key, Number.class, "number", defaultValue);
        if (!(number.doubleValue() >= minimum && number.doubleValue() <= maximum)) {
            throw invalid(key, number + " is not from " + formatNumber(minimum) + " to " + formatNumber(maximum));
        }
        return number.doubleValue();
    }

    /** Returns an integer, which must be within the inclusive bounds. */
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

    /** Returns a string that must be one of {@code words}. */
    public String getChoice(String key, String defaultValue, Set<String> words) throws ConfigurationException {
        String word = getString(key, defaultValue);
        if (word != null && !words.contains(word)) {
            throw invalid(key, "'" + word + "' is none of " + String.join(", ", new TreeSet<>(words)));
        }
        return word;
    }

    /** Returns a list of strings without duplicates; empty if the key is missing. */
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

    /** Returns a numeric address with a port, such as {@code 127.0.0.1:7400}. */
    public InetSocketAddress getAddress(String key, String defaultValue) throws ConfigurationException {
        String text = getString(key, defaultValue);
        return text == null ? null : parseNumericAddress(key, text);
    }

    /** Returns a list of numeric addresses without duplicates, sorted by their text; empty if the key is missing. */
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

    /** Returns a list of non-negative integers; empty if the key is missing. */
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

    /** Returns the table of that name; an empty one if the key is missing. */
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

    /** Returns an array of tables; empty if the key is missing. */
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

    /** Throws an exception for a key that no getter has read, in this table or in a table read from it. */
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
