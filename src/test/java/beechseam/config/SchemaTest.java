package beechseam.config;

import static org.junit.jupiter.api.Assertions.*;

import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Checks that the schema in deploy/ is up to date and that it accepts the same files as the Gearman file's reader. */
class SchemaTest {
    private static final Path SCHEMA = Path.of("deploy", "gearman.schema.json");

    @Test
    void schemaInDeployIsUpToDate() throws Exception {
        assertEquals(
                JsonSchema.of(GearmanConfig.sample(), "beechseam: operator's file for Gearman"),
                Files.readString(SCHEMA),
                "regenerate it: beechseam schema > deploy/gearman.schema.json");
    }

    @Test
    void schemaAndReaderAgreeOnValidAndInvalidFiles() throws Exception {
        Schema schema = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                .getSchema(Files.readString(SCHEMA), InputFormat.JSON);
        String[] valid = {
            "{\"functions\":\"*\"}",
            "{\"functions\":[{\"name\":\"f\",\"max_queue\":{\"high\":3}}]}",
            Files.readString(Path.of("deploy", "gearman.json"))
        };
        String[] invalid = {
            "{\"functions\":\"all\"}",
            "{\"functions\":[{}]}",
            "{\"functions\":\"*\",\"stoer\":1}",
            "{\"functions\":[{\"name\":\"f\",\"effect\":\"odd\"}]}",
            "{\"functions\":\"*\",\"listen\":\"x\"}",
            "{\"functions\":\"*\",\"max_jobs\":0}",
            "{\"functions\":\"*\",\"max_jobs\":1.5}",
            "{\"functions\":\"*\",\"copies\":\"yes\"}",
            "{\"functions\":[{\"name\":\"f\",\"max_queue\":{\"mid\":3}}]}",
            "{\"functions\":\"*\",\"workers\":[{\"zone\":\"a\"}]}"
        };
        for (String text : valid) {
            assertTrue(schema.validate(text, InputFormat.JSON).isEmpty(), text);
            assertDoesNotThrow(() -> GearmanConfig.of(parse(text)), text);
        }
        for (String text : invalid) {
            assertFalse(schema.validate(text, InputFormat.JSON).isEmpty(), text);
            assertThrows(ConfigException.class, () -> GearmanConfig.of(parse(text)), text);
        }
    }

    @Test
    void unknownKeyIsRejectedWithSuggestion() throws Exception {
        for (String[] messageAndFile : new String[][] {
            {"stoer: is not known here; known are zone, workers, functions,", "{\"functions\":\"*\",\"stoer\":1}"},
            {"max_job: is not known here; did you mean max_jobs?", "{\"functions\":\"*\",\"max_job\":1}"},
            {
                "functions[1].efect: is not known here; did you mean effect?",
                "{\"functions\":[{\"name\":\"a\"},{\"name\":\"b\",\"efect\":\"safe\"}]}"
            },
            {
                "workers[0].client: is not known here; did you mean client_id?",
                "{\"functions\":\"*\",\"workers\":[{\"client_id\":\"a\",\"client\":1}]}"
            },
            {
                "functions[0].max_queue.hihg: is not known here; did you mean high?",
                "{\"functions\":[{\"name\":\"a\",\"max_queue\":{\"hihg\":1}}]}"
            }
        }) {
            String message = assertThrows(ConfigException.class, () -> GearmanConfig.of(parse(messageAndFile[1])))
                    .getMessage();
            assertTrue(message.startsWith(messageAndFile[0]), message);
        }
    }

    private static ConfigNode parse(String text) throws Exception {
        byte[] bytes = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return new ConfigNode("", (java.util.Map<?, ?>) Json.parse(bytes, 0, bytes.length));
    }
}
