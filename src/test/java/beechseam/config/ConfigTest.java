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

class ConfigTest {
    private static final String GOOD = """
        {"name":"n3","listen":"127.0.0.1:8081","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
         "limits":{"sockets":1024},
         "known":{"version":4,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.9:1",
         "state":"SERVING"}]},"settings":{"Classes":[{"Name":"c","AimNs":5}],"Limits":{"MaxAttempts":3}}}
        """;
    private static final String GEARMAN = "{\"functions\":[{\"name\":\"f\",\"effect\":\"safe\"}]}";

    private static ConfigNode tree(String text) throws Exception {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return new ConfigNode("", (Map<?, ?>) Json.parse(bytes, 0, bytes.length));
    }

    @Test
    void whatIsThereIsReadAndWhatIsNotHasADefault() throws Exception {
        NodeConfig c = NodeConfig.of(tree(GOOD));
        assertEquals("n3", c.name());
        assertEquals(0x8c1f30d27a5be964L, c.seed());
        assertEquals(250_000_000L, c.connectTimeoutNs());
        assertEquals(3, c.options().settings.limits().maxAttempts());
        assertEquals(1, c.known().servers().size());
        NodeConfig bare = NodeConfig.of(tree(GOOD.replace("\"limits\"", "\"x\"").replace("\"known\"", "\"y\"")));
        assertEquals(1024, bare.sockets());
        assertTrue(bare.known().servers().isEmpty());
        assertNull(bare.console(), "no door unless one is asked for");
    }

    /** A site with none of probes, copies and utilization, and figures of its own for the rules. */
    @Test
    void aSecondSitesSettingsAreReadAndAFaultInThemNamesItsKey() throws Exception {
        String plain = "{\"Classes\":[{\"Name\":\"c\",\"AimNs\":5}],\"Limits\":{\"MaxAttempts\":3}}";
        String second = GOOD.replace(plain, """
            {"Classes":[{"Name":"book","AimNs":300000000,"DeadlineNs":12000000000,"Worth":8,
              "Effect":"idempotency_key","Group":"zone","WindowNs":20000000000}],
             "Limits":{"MaxAttempts":3,"Cancel":true,"Probes":false,"SecondCopies":false},
             "Rules":{"DrainGraceNs":250000000,"StartCapacity":0.12,"ColdNs":23000000000},
             "LoadInfo":{"How":"piggyback","Columns":["outstanding","throughput","backlog","x0"]},
             "Specifics":{"ReportX0":"free slots","TellsStart":true},"CountedBy":"request"}""");
        ModuleOptions options = NodeConfig.of(tree(second)).options();
        assertEquals(250_000_000L, options.settings.rules().drainGraceNs());
        assertEquals(0.12, options.settings.rules().initialCapacity());
        assertFalse(
                options.settings.limits().hedging() || options.settings.limits().healthChecks());
        assertFalse(options.settings.weightByWork());
        LoadReport load = options.load(new double[] {5, 30, 2, 1}, 4);
        assertEquals(new LoadReport(5, 2, 1, Double.NaN, Double.NaN), load, "what it does not report is unknown");
        String message = assertThrows(
                        ConfigException.class,
                        () -> NodeConfig.of(tree(second.replace("\"AimNs\":300000000", "\"AimNs\":-1"))))
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
    void aFaultNamesItsKey(String key, String from, String to) throws Exception {
        assertTrue(GOOD.contains(from), from);
        ConfigNode bad = tree(GOOD.replace(from, to));
        String message =
                assertThrows(ConfigException.class, () -> NodeConfig.of(bad)).getMessage();
        assertTrue(message.startsWith(key + ": "), message);
    }

    @Test
    void theEnvironmentComesBeforeTheFile(@TempDir Path dir) throws Exception {
        Path file = Files.writeString(dir.resolve("c.json"), GOOD);
        NodeConfig c = NodeConfig.of(Map.of(
                "PROXY_CONFIG",
                file.toString(),
                "PROXY_NAME",
                "other",
                "PROXY_LISTEN",
                "127.0.0.5:9",
                "PROXY_CONSOLE",
                "127.0.0.6:10"));
        assertEquals("other", c.name());
        assertEquals(10, c.console().getPort());
        assertEquals(9, c.listen().getPort());
        Path broken = Files.writeString(dir.resolve("b.json"), "{");
        assertThrows(ConfigException.class, () -> NodeConfig.read(broken.toString()));
        assertThrows(
                ConfigException.class, () -> NodeConfig.read(dir.resolve("none").toString()));
    }

    /** PROXY_DISCOVERY is from before the start: on a reload the file, written since, knows better. */
    @Test
    void onAReloadTheFileNamesDiscovery(@TempDir Path dir) throws Exception {
        Path file = Files.writeString(dir.resolve("c.json"), GOOD);
        Map<String, String> environment =
                Map.of("PROXY_CONFIG", file.toString(), "PROXY_NAME", "other", "PROXY_DISCOVERY", "127.0.0.7:1");
        assertEquals("127.0.0.7:1", NodeConfig.of(environment).discoveryHost());
        assertEquals("127.0.0.2:8500", NodeConfig.reload(environment).discoveryHost());
        assertEquals("other", NodeConfig.reload(environment).name());
        Files.writeString(file, GOOD.replace("\"discovery\"", "\"elsewhere\""));
        assertEquals("127.0.0.7:1", NodeConfig.reload(environment).discoveryHost());
    }

    /** The platform's file may hold more than we know; a key of ours misspelt is not that. */
    @Test
    void aKeyMisspeltIsAFaultAndAForeignOneIsNot() throws Exception {
        assertEquals(
                1024,
                NodeConfig.of(tree(GOOD.replace("\"seed\"", "\"region\":\"wa\",\"seed\"")))
                        .sockets());
        ConfigNode bad = tree(GOOD.replace("\"seed\"", "\"consol\":\"127.0.0.1:1\",\"seed\""));
        assertEquals(
                "consol: is not known here; did you mean console?",
                assertThrows(ConfigException.class, () -> NodeConfig.of(bad)).getMessage());
        ConfigNode nested = tree(GOOD.replace("\"sockets\"", "\"cores\":1,\"memory_mb\":5,\"socket\""));
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
    void aFaultInTheOperatorsFileNamesItsKey(String key, String text) throws Exception {
        ConfigNode bad = tree(text);
        String message =
                assertThrows(ConfigException.class, () -> GearmanConfig.of(bad)).getMessage();
        assertTrue(message.startsWith(key + ": "), message);
    }

    @Test
    void theOperatorsFileInDeployIsGood() throws Exception {
        GearmanConfig c = GearmanConfig.read("deploy/gearman.json");
        assertEquals(4, c.functions().size());
        assertEquals("malaga", c.place("malaga-1-x").zone());
        assertEquals("kewdale", c.place("stranger").zone());
        assertEquals(4730, GearmanConfig.of(tree(GEARMAN)).listen().getPort());
    }
}
