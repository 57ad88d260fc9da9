package beechseam.config;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.dispatch.LoadReport;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests reading the configurations of platform node and Gearman server: defaults, precedence and errors. */
class ConfigTest {
    private static final String VALID = """
        {"name":"n3","listen":"127.0.0.1:8081","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
         "limits":{"sockets":1024},
         "known":{"version":4,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.9:1",
         "state":"SERVING"}]},"settings":{"Classes":[{"Name":"c","AimNs":5}],"Limits":{"MaxAttempts":3}}}
        """;
    private static final String GEARMAN = "{\"functions\":[{\"name\":\"f\",\"effect\":\"safe\"}]}";

    private static ConfigNode parse(String text) throws Exception {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return new ConfigNode("", (Map<?, ?>) Json.parse(bytes, 0, bytes.length));
    }

    @Test
    void presentKeysAreReadAndAbsentOnesHaveDefaults() throws Exception {
        NodeConfig config = NodeConfig.of(parse(VALID));
        assertEquals("n3", config.name());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(250_000_000L, config.connectTimeoutNs());
        assertEquals(3, config.options().settings.limits().maxAttempts());
        assertEquals(1, config.known().servers().size());
        NodeConfig defaults =
                NodeConfig.of(parse(VALID.replace("\"limits\"", "\"x\"").replace("\"known\"", "\"y\"")));
        assertEquals(1024, defaults.sockets());
        assertTrue(defaults.known().servers().isEmpty());
        assertNull(defaults.console(), "no admin endpoint unless one is configured");
    }

    /** The settings are those of a site without health checks, hedging or utilization, and with other worker rules. */
    @Test
    void settingsOfAnotherSiteAreReadAndErrorsNameTheKey() throws Exception {
        String validSettings = "{\"Classes\":[{\"Name\":\"c\",\"AimNs\":5}],\"Limits\":{\"MaxAttempts\":3}}";
        String otherSite = VALID.replace(validSettings, """
            {"Classes":[{"Name":"book","AimNs":300000000,"DeadlineNs":12000000000,"Worth":8,
              "Effect":"idempotency_key","Group":"zone","WindowNs":20000000000}],
             "Limits":{"MaxAttempts":3,"Cancel":true,"Probes":false,"SecondCopies":false},
             "Rules":{"DrainGraceNs":250000000,"StartCapacity":0.12,"ColdNs":23000000000},
             "LoadInfo":{"How":"piggyback","Columns":["outstanding","throughput","backlog","x0"]},
             "Specifics":{"ReportX0":"free slots","TellsStart":true},"CountedBy":"request"}""");
        ModuleOptions options = NodeConfig.of(parse(otherSite)).options();
        assertEquals(250_000_000L, options.settings.rules().drainGraceNs());
        assertEquals(0.12, options.settings.rules().initialCapacity());
        assertFalse(
                options.settings.limits().hedging() || options.settings.limits().healthChecks());
        assertFalse(options.settings.weightByWork());
        LoadReport load = options.load(new double[] {5, 30, 2, 1}, 4);
        assertEquals(new LoadReport(5, 2, 1, Double.NaN, Double.NaN), load, "values that are not reported are NaN");
        String message = assertThrows(
                        ConfigException.class,
                        () -> NodeConfig.of(parse(otherSite.replace("\"AimNs\":300000000", "\"AimNs\":-1"))))
                .getMessage();
        assertTrue(message.startsWith("settings.Classes[0].AimNs: "), message);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "settings | \"settings\" | \"set\"",
                "settings | {\"Classes\":[{\"Name\":\"c\",\"AimNs\":5}],\"Limits\":{\"MaxAttempts\":3}} | 7",
                "listen | \"listen\" | \"lis\"",
                "listen | 127.0.0.1:8081 | localhost:8081",
                "listen | 127.0.0.1:8081 | 127.0.0.1:99999",
                "discovery | 127.0.0.2:8500 | 127.0.0.2",
                "console | \"seed\" | \"console\":\"8500\",\"seed\"",
                "seed | 8c1f30d27a5be964 | xyz",
                "limits.sockets | 1024 | 3",
                "limits.sockets | 1024 | 100.5",
                "known.servers[0].addr | 127.0.0.9:1 | nowhere",
                "known.servers[0].state | SERVING | AWAKE",
                "settings.Classes | [{\"Name\":\"c\",\"AimNs\":5}] | []",
                "settings.Classes[0].Name | \"Name\":\"c\" | \"N\":1",
                "settings.Classes[0].AimNs | :5 | :-5",
                "settings.Specifics.ClassKind | \"Limits\":{\"M | \"Specifics\":{\"ClassKind\":[{}]},\"Limits\":{\"M",
                "settings.Limits.MaxAttempts | :3 | :0"
            })
    void errorNamesTheKey(String key, String from, String to) throws Exception {
        assertTrue(VALID.contains(from), from);
        ConfigNode invalid = parse(VALID.replace(from, to));
        String message = assertThrows(ConfigException.class, () -> NodeConfig.of(invalid))
                .getMessage();
        assertTrue(message.startsWith(key + ": "), message);
    }

    @Test
    void environmentOverridesFile(@TempDir Path dir) throws Exception {
        Path file = Files.writeString(dir.resolve("c.json"), VALID);
        NodeConfig config = NodeConfig.of(Map.of(
                "PROXY_CONFIG",
                file.toString(),
                "PROXY_NAME",
                "other",
                "PROXY_LISTEN",
                "127.0.0.5:9",
                "PROXY_CONSOLE",
                "127.0.0.6:10"));
        assertEquals("other", config.name());
        assertEquals(10, config.console().getPort());
        assertEquals(9, config.listen().getPort());
        Path broken = Files.writeString(dir.resolve("b.json"), "{");
        assertThrows(ConfigException.class, () -> NodeConfig.read(broken.toString()));
        assertThrows(
                ConfigException.class, () -> NodeConfig.read(dir.resolve("none").toString()));
    }

    /** PROXY_DISCOVERY holds the address from the start of the process; on a reload the file may be more recent. */
    @Test
    void discoveryAddressOfFileTakesPrecedenceOnReload(@TempDir Path dir) throws Exception {
        Path file = Files.writeString(dir.resolve("c.json"), VALID);
        Map<String, String> environment =
                Map.of("PROXY_CONFIG", file.toString(), "PROXY_NAME", "other", "PROXY_DISCOVERY", "127.0.0.7:1");
        assertEquals("127.0.0.7:1", NodeConfig.of(environment).discoveryHost());
        assertEquals("127.0.0.2:8500", NodeConfig.reload(environment).discoveryHost());
        assertEquals("other", NodeConfig.reload(environment).name());
        Files.writeString(file, VALID.replace("\"discovery\"", "\"elsewhere\""));
        assertEquals("127.0.0.7:1", NodeConfig.reload(environment).discoveryHost());
    }

    /** The platform may add keys to the file, but a typo of a known key is an error. */
    @Test
    void misspeltKeyIsRejectedAndUnknownKeyIsPermitted() throws Exception {
        assertEquals(
                1024,
                NodeConfig.of(parse(VALID.replace("\"seed\"", "\"region\":\"wa\",\"seed\"")))
                        .sockets());
        ConfigNode invalid = parse(VALID.replace("\"seed\"", "\"consol\":\"127.0.0.1:1\",\"seed\""));
        assertEquals(
                "consol: is not known here; did you mean console?",
                assertThrows(ConfigException.class, () -> NodeConfig.of(invalid))
                        .getMessage());
        ConfigNode nested = parse(VALID.replace("\"sockets\"", "\"cores\":1,\"memory_mb\":5,\"socket\""));
        assertEquals(
                "limits.socket: is not known here; did you mean sockets?",
                assertThrows(ConfigException.class, () -> NodeConfig.of(nested)).getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "functions | {}",
                "functions[1].name | {\"functions\":[{\"name\":\"f\"},{\"name\":\"f\"}]}",
                "functions[0].effect | {\"functions\":[{\"name\":\"f\",\"effect\":\"odd\"}]}",
                "functions[0].window_ms | {\"functions\":[{\"name\":\"f\",\"effect\":\"keyed\"}]}",
                "functions[0].deadline_ms | {\"functions\":[{\"name\":\"f\",\"deadline_ms\":0}]}",
                "workers[0].client_id | {\"functions\":[{\"name\":\"f\"}],\"workers\":[{}]}",
                "copies | {\"functions\":[{\"name\":\"f\"}],\"copies\":\"yes\"}",
                "listen | {\"functions\":[{\"name\":\"f\"}],\"listen\":\"x\"}"
            })
    void errorInGearmanFileNamesTheKey(String key, String text) throws Exception {
        ConfigNode invalid = parse(text);
        String message = assertThrows(ConfigException.class, () -> GearmanConfig.of(invalid))
                .getMessage();
        assertTrue(message.startsWith(key + ": "), message);
    }

    @Test
    void gearmanFileInDeployIsValid() throws Exception {
        GearmanConfig config = GearmanConfig.read("deploy/gearman.json");
        assertEquals(4, config.functions().size());
        assertEquals("malaga", config.place("malaga-1-x").zone());
        assertEquals("kewdale", config.place("stranger").zone());
        assertEquals(4730, GearmanConfig.of(parse(GEARMAN)).listen().getPort());
    }
}
