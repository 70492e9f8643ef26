package org.tarragonlug.misc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonTreeTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private static JsonNode randomTree(Random random, int depth) {
        switch (random.nextInt(depth > 3 ? 6 : 8)) {
            case 0:
                return NODES.textNode("te\"xt \n\u00e9\u2028" + random.nextInt());
            case 1:
                return NODES.numberNode(random.nextInt());
            case 2:
                return NODES.numberNode(random.nextLong());
            case 3:
                return NODES.numberNode(random.nextDouble() * 1e20);
            case 4:
                return NODES.booleanNode(random.nextBoolean());
            case 5:
                return NODES.nullNode();
            case 6:
                ArrayNode array = NODES.arrayNode();
                for (int count = random.nextInt(4); count > 0; count--) {
                    array.add(randomTree(random, depth + 1));
                }
                return array;
            default:
                ObjectNode object = NODES.objectNode();
                for (int count = random.nextInt(4); count > 0; count--) {
                    object.set("field " + random.nextInt(9), randomTree(random, depth + 1));
                }
                return object;
        }
    }

    /** The object mapper of the library serves as the obviously right version. */
    @Nested
    class AgainstObjectMapper {
        @Test
        void readsWhatTheMapperWrites() throws Exception {
            Random random = new Random(41);
            for (int round = 0; round < 500; round++) {
                JsonNode tree = randomTree(random, 0);
                assertEquals(
                        MAPPER.readTree(MAPPER.writeValueAsBytes(tree)),
                        JsonTree.read(MAPPER.writeValueAsBytes(tree)));
            }
        }

        @Test
        void writesWhatTheMapperReads() throws Exception {
            Random random = new Random(42);
            for (int round = 0; round < 500; round++) {
                JsonNode tree = randomTree(random, 0);
                assertEquals(
                        MAPPER.readTree(MAPPER.writeValueAsBytes(tree)),
                        MAPPER.readTree(JsonTree.bytes(tree)));
            }
        }
    }

    @Nested
    class Malformed {
        @ParameterizedTest
        @ValueSource(strings = {"{", "[1,", "{\"a\":}", "nul", "1 2", "{\"a\":1}x", "]", "{1:2}"})
        void malformedTextIsRefused(String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            assertThrows(JsonProcessingException.class, () -> JsonTree.read(bytes));
        }

        /** Guards against text that exhausts the stack of the thread which reads it. */
        @Test
        void deepNestingIsRefused() {
            byte[] bytes = "[".repeat(100_000).getBytes(StandardCharsets.UTF_8);
            assertThrows(JsonProcessingException.class, () -> JsonTree.read(bytes));
        }

        @Test
        void twoFieldsOfOneNameAreRefusedInStrictReading() throws Exception {
            byte[] bytes = "{\"a\":1,\"a\":2}".getBytes(StandardCharsets.UTF_8);
            assertThrows(JsonProcessingException.class, () -> JsonTree.readStrictly(bytes));
            assertEquals(2, JsonTree.read(bytes).path("a").asInt());
        }

        @Test
        void emptyTextIsMissing() throws Exception {
            assertTrue(JsonTree.read(new byte[0]).isMissingNode());
        }
    }

    /** Documents to which other writers have contributed values that are refused for their size. */
    @Nested
    class Foreign {
        private static final int DEEP = 300_000;

        private JsonNode readForeign(String text) throws Exception {
            return JsonTree.readForeign(text.getBytes(StandardCharsets.UTF_8));
        }

        // Guards against one value that makes all others of the document unreadable.
        @ParameterizedTest
        @ValueSource(strings = {"[", "{\"a\":", "[{\"a\":[1,\"]}\","})
        void deepValueIsReadAsNullAndOthersAsTheyAre(String opening) throws Exception {
            String deep = opening.repeat(DEEP) + "0" + closing(opening).repeat(DEEP);
            JsonNode tree = readForeign("{\"odd\":" + deep + ",\"good\":[1,\"[{\",true]}");
            assertEquals("[1,\"[{\",true]", tree.path("good").toString());
        }

        private static String closing(String opening) {
            return opening.equals("[") ? "]" : opening.startsWith("{") ? "}" : "]}]";
        }

        @ParameterizedTest
        @ValueSource(strings = {"9", "-9", "0.9", "1e9"})
        void longNumberIsReadAsNull(String start) throws Exception {
            JsonNode tree = readForeign("[" + start + "9".repeat(5000) + ",{\"x\":2}]");
            assertTrue(tree.get(0).isNull());
            assertEquals(2, tree.get(1).path("x").intValue());
        }

        // Guards against values that can be read but not be passed on to other instances.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "1e999",
                    "-1e999",
                    "\"\\ud800\"",
                    "{\"\\udc00x\":1}",
                    "\"\\ud83d\\ude00\""
                })
        void whatIsReadCanBeWrittenAndReadAgain(String text) throws Exception {
            JsonNode tree = readForeign("[" + text + "]");
            assertEquals(tree, JsonTree.read(JsonTree.bytes(tree)));
        }

        @Test
        void bytesThatAreNoTextAreReplaced() throws Exception {
            byte[] document = {'[', '"', (byte) 0xff, '"', ',', '1', ']'};
            assertEquals("[\"\ufffd\",1]", JsonTree.readForeign(document).toString());
        }

        @ParameterizedTest
        @ValueSource(strings = {"[", "]", "{\"a\"}", "[1,]", "nul", "\"abc", "[1]]"})
        void textThatIsNoJsonIsRefused(String text) {
            assertThrows(JsonProcessingException.class, () -> readForeign(text));
        }
    }
}
