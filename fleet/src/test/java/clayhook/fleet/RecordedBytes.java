package clayhook.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Loads recorded encodings, which every later release must read and write unchanged. Each line of a resource holds the
 * name of a form and its bytes in hexadecimal; lines that begin with {@code #} are comments.
 */
public final class RecordedBytes {
    private RecordedBytes() {}

    /**
     * Returns the recorded bytes by the name of the form, in the order of the lines.
     *
     * @param file the name of a file in {@code src/test/resources/recorded}
     */
    public static Map<String, byte[]> load(String file) {
        var recorded = new LinkedHashMap<String, byte[]>();
        text(file)
                .lines()
                .filter(line -> !line.isBlank() && !line.startsWith("#"))
                .forEach(line -> {
                    String[] columns = line.split(" ", -1);
                    if (columns.length != 2
                            || recorded.put(columns[0], HexFormat.of().parseHex(columns[1])) != null) {
                        throw new IllegalArgumentException("malformed or duplicate form: " + line);
                    }
                });
        return recorded;
    }

    private static String text(String file) {
        try (InputStream in = RecordedBytes.class.getResourceAsStream("/recorded/" + file)) {
            if (in == null) {
                throw new IllegalArgumentException("no recorded file " + file);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
