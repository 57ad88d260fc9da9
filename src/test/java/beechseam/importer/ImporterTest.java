package beechseam.importer;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.config.Json;
import beechseam.config.MemberList;
import beechseam.dispatch.EndpointState;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the import of Apache balancer and mod_jk files. */
class ImporterTest {
    private static final String APACHE = """
        # a comment
        <Proxy "balancer://jobs">
            BalancerMember "http://10.1.0.18:8081" route=a1 loadfactor=2 lbset=1
            BalancerMember http://10.1.0.19:8081/app \\
                status=+D
            BalancerMember ajp://10.1.0.20 status=+H
            BalancerMember http://10.1.0.21 status=N-S
            ProxySet lbmethod=bybusyness
        </Proxy>
        BalancerMember balancer://other/ http://10.1.0.22:81
        """;
    private static final String MODJK = """
        base=10.2.0
        worker.list=router,jkstatus,solo
        worker.jkstatus.type=status
        worker.router.type=lb
        worker.router.balance_workers=n1, n2,n3
        worker.template.type=ajp13
        worker.template.port=8109
        worker.template.lbfactor=3
        worker.n1.reference=worker.template
        worker.n1.host=$(base).1
        worker.n1.domain=east
        worker.n2.reference=worker.template
        worker.n2.host=$(base).2:9000
        worker.n2.activation=disabled
        worker.n2.distance=2
        worker.n3.reference=worker.template
        worker.n3.activation=Stopped
        worker.solo.host=10.2.0.9
        """;

    private static List<Route> read(String text, Importer importer) throws ImportException {
        return importer.read(text, Importer.Form.AUTO, "z");
    }

    @Test
    void apacheBalancerMembers() throws ImportException {
        Importer importer = new Importer();
        assertEquals(
                List.of(
                        new Route("a1", "10.1.0.18:8081", "z", "jobs", 1, 2, false),
                        new Route("10.1.0.19:8081", "10.1.0.19:8081", "z", "jobs", 0, 1, true),
                        new Route("10.1.0.21:80", "10.1.0.21:80", "z", "jobs", 0, 1, true),
                        new Route("10.1.0.22:81", "10.1.0.22:81", "z", "other", 0, 1, false)),
                read(APACHE, importer));
        assertEquals(1, importer.warnings().size(), "one warning, for the hot standby");
    }

    @Test
    void modJkWorkersWithReferencesAndVariables() throws ImportException {
        Importer importer = new Importer();
        assertEquals(
                List.of(
                        new Route("n1", "10.2.0.1:8109", "east", "router", 0, 3, false),
                        new Route("n2", "10.2.0.2:9000", "z", "router", 2, 3, true),
                        new Route("solo", "10.2.0.9:8009", "z", "solo", 0, 1, false)),
                read(MODJK, importer));
        assertEquals(List.of("worker.n3: is stopped and is not imported"), importer.warnings());
    }

    /** A node can read the written list, and repeated imports of a file assign the same ids. */
    @Test
    void writtenListHasDiscoveryFormatAndStableIds() throws Exception {
        StringWriter first = new StringWriter();
        StringWriter second = new StringWriter();
        new Importer().write(read(APACHE, new Importer()), first);
        new Importer().write(read(APACHE, new Importer()), second);
        assertEquals(first.toString(), second.toString());
        byte[] text = first.toString().getBytes(StandardCharsets.UTF_8);
        MemberList list = MemberList.of((Map<?, ?>) Json.parse(text, 0, text.length), Assertions::fail);
        assertTrue(list.full());
        assertEquals(
                4, list.servers().stream().map(MemberList.Server::id).distinct().count());
        assertEquals(EndpointState.DRAINING, list.servers().get(1).state());
        assertEquals(8081, list.servers().get(0).address().getPort());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "BalancerMember http://10.0.0.1 | line 1: BalancerMember outside",
                "<Proxy balancer://a>~BalancerMember 10.0.0.1 | line 2: BalancerMember needs a URL",
                "<Proxy balancer://a>~BalancerMember http://h odd | line 2: 'odd'",
                "<Proxy balancer://a>~BalancerMember \\~http://h~BalancerMember http://h odd | line 4: 'odd'",
                "<Proxy balancer://a>~BalancerMember http://h loadfactor=x | line 2: loadfactor",
                "<Proxy balancer://a>~</Proxy> | no worker",
                "worker.list=a~worker.a.port=x | worker.a.port",
                "worker.list=a~worker.a.host=$(b) | worker.a.host",
                "worker.list=a~worker.a.reference=worker.a | worker.a.reference",
                "nothing of the kind | neither"
            })
    void errorNamesLineOrKey(String text, String problem) {
        String message = assertThrows(ImportException.class, () -> read(text.replace('~', '\n'), new Importer()))
                .getMessage();
        assertTrue(message.startsWith(problem), message);
    }

    @Test
    void duplicateWorkerIsRejected() throws ImportException {
        List<Route> duplicates =
                read("<Proxy balancer://a>\nBalancerMember http://h\nBalancerMember http://h\n", new Importer());
        assertThrows(ImportException.class, () -> new Importer().write(duplicates, new StringWriter()));
    }
}
