package org.tanagergap.platform.instances;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.testing.MutatedText;

/** Guards against a malformed item that hides its neighbours or ends the reader with an error. */
class EndpointSliceFuzzTests {

    private static final String ITEM =
            "{\"metadata\":{\"name\":\"s\",\"labels\":{\"kubernetes.io/service-name\":\"agents\"}},"
                    + "\"endpoints\":[{\"addresses\":[\"10.0.0.1\"],\"conditions\":{\"ready\":true,"
                    + "\"terminating\":false},\"zone\":\"z\",\"targetRef\":{\"name\":\"m1\"}}],"
                    + "\"ports\":[{\"port\":80}]}";

    private final EndpointSliceReader mReader = new EndpointSliceReader();

    @Property(seed = "3101", tries = 5_000)
    void aMutatedItemHidesNoNeighbour(@ForAll long seed) {
        String mutated = new MutatedText(new Random(seed)).values(ITEM);
        String good = ITEM.replace("\"m1\"", "\"good\"");

        var instances =
                mReader.read(Buffer.buffer("{\"items\":[" + mutated + "," + good + "]}"), "agents");

        assertThat(instances).contains(new Instance("good", "10.0.0.1:80", "z", false));
        for (Instance instance : instances) {
            assertThat(instance.terminating() || HostPort.parse(instance.address()).isPresent())
                    .isTrue();
        }
    }

    @Property(seed = "3102", tries = 5_000)
    void aMutatedListIsReadOrRejected(@ForAll long seed) {
        String list = "{\"kind\":\"EndpointSliceList\",\"items\":[" + ITEM + "," + ITEM + "]}";
        try {
            mReader.read(
                    Buffer.buffer(new MutatedText(new Random(seed)).characters(list)), "agents");
        } catch (DecodeException e) {
            assertThat(e).hasMessageThat().isNotEmpty();
        }
    }
}
