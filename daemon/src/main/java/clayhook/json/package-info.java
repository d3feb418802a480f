/**
 * JSON parser that returns maps, lists, strings, numbers and booleans. The package uses only the JDK, and any thread
 * may call it. Start reading at {@link clayhook.json.Json}.
 */
package clayhook.json;
