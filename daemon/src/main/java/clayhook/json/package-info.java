/**
 * Reads JSON documents into maps, lists, strings, numbers and booleans. It uses the JDK only and is for any thread.
 * Start reading at {@link clayhook.json.Json}.
 */
package clayhook.json;
