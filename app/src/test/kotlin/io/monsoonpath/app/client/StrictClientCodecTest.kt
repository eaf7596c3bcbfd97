package io.monsoonpath.app.client

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.ssl.util.SelfSignedCertificate
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.TestInstance
import java.net.InetAddress
import java.net.ServerSocket
import java.security.KeyStore
import java.util.concurrent.Executors
import javax.net.ssl.KeyManagerFactory
import javax.net.ssl.SSLContext
import kotlin.test.assertEquals
import kotlin.test.assertFails
import kotlin.test.assertTrue

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class StrictClientCodecTest {
    private val threads = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }

    @AfterAll
    fun stop() {
        threads.shutdownNow()
    }

    private class Case(
        val name: String,
        val method: HttpMethod,
        val response: String,
        val read: String,
    )

    private val legal =
        listOf(
            Case("a body with a length", HttpMethod.GET, responseHead(OK, lengthOf(BODY)) + BODY, "200 [content-length=2] {}."),
            Case("a body in chunks", HttpMethod.POST, responseHead(OK, CHUNKED) + chunksOf("{", "}"), "200 [$CHUNKED_READ] {}."),
            Case("a trailer", HttpMethod.GET, responseHead(OK, CHUNKED) + "0\r\nage: 1\r\n\r\n", "200 [$CHUNKED_READ] .[age=1]"),
            Case("no body to HEAD", HttpMethod.HEAD, responseHead(OK, lengthOf(BODY)), "200 [content-length=2] ."),
            Case("no chunks to HEAD", HttpMethod.HEAD, responseHead(OK, CHUNKED), "200 [] ."),
            Case("no content", HttpMethod.GET, responseHead("HTTP/1.1 204 No Content"), "204 [] ."),
            Case("no change", HttpMethod.GET, responseHead("HTTP/1.1 304 Not Modified", lengthOf(BODY)), "304 [content-length=2] ."),
            Case(
                "an informational response to HEAD",
                HttpMethod.HEAD,
                responseHead(CONTINUE) + responseHead(OK, lengthOf(BODY)),
                "100 [] .200 [content-length=2] .",
            ),
            Case(
                "an informational response to POST",
                HttpMethod.POST,
                responseHead(CONTINUE) + responseHead(OK, lengthOf(BODY)) + BODY,
                "100 [] .200 [content-length=2] {}.",
            ),
            Case("headers without a value", HttpMethod.HEAD, responseHead(OK, "via:", "age: "), "200 [via=, age=] ."),
            Case("a header on two lines", HttpMethod.HEAD, responseHead(OK, "via: a", " : b"), "200 [via=a : b] ."),
            Case("more colons", HttpMethod.HEAD, responseHead("$OK: a", "via: a : b"), "200 [via=a : b] ."),
        )

    @TestFactory
    fun `a legal response and the next one are read`() =
        legal.map { case ->
            DynamicTest.dynamicTest(case.name) {
                for (split in 0..case.response.length) {
                    assertEquals(case.read + NEXT_READ, read(case.method, case.response, split))
                }
            }
        }

    @TestFactory
    fun `a header name that no colon follows makes a response malformed`() =
        listOf("via : v", "via\t: v", "via v", "via", "via HTTP/1.1 500 Error: c", " : v").flatMap { line ->
            listOf(
                "before another header" to responseHead(OK, line, lengthOf(BODY)) + BODY,
                "after another header" to responseHead(OK, lengthOf(BODY), line.trimStart()) + BODY,
                "as a trailer" to responseHead(OK, CHUNKED) + "0\r\n$line\r\n\r\n",
            ).map { (place, response) ->
                DynamicTest.dynamicTest("<$line> $place") {
                    for (split in 0..response.length) {
                        val text = read(HttpMethod.GET, response, split)
                        assertTrue("malformed" in text && NEXT_READ !in text, text)
                    }
                }
            }
        }

    /** Callers got a response with status 000 as an answer. */
    @TestFactory
    fun `a status line that is not valid makes a response malformed`() =
        listOf("000 None", "099 Low", "600 High", "0200 OK", "+200 OK", "2000 OK", "20 OK", "2x0 OK")
            .map { "HTTP/1.1 $it" }
            .plus(listOf("HTTP/1.10 200 OK", "HTTP/2.0 200 OK", "HTTP/01.1 200 OK", "http/1.1 200 OK", "ICY 200 OK"))
            .map { line ->
                DynamicTest.dynamicTest(line) {
                    val response = responseHead(line, lengthOf(BODY)) + BODY
                    for (split in 0..response.length) {
                        val text = read(HttpMethod.GET, response, split)
                        assertTrue("malformed" in text && NEXT_READ !in text, text)
                    }
                }
            }

    @TestFactory
    fun `bytes that a replaced codec has not read are read`() =
        (0 until OK.length).map { length ->
            DynamicTest.dynamicTest("$length bytes") {
                val replaced = HttpClientCodec()
                val channel = EmbeddedChannel(replaced)
                channel.receive(OK.take(length))
                channel.pipeline().replace(replaced, null, StrictClientCodec())
                channel.receive(responseHead(OK, lengthOf(NEXT_BODY)).drop(length) + NEXT_BODY)
                assertEquals(NEXT_READ, channel.readText())
            }
        }

    /** Returns what is read of [response], received in two parts, to a request with [method] and of the response to a request after it. */
    private fun read(
        method: HttpMethod,
        response: String,
        split: Int,
    ): String {
        val channel = EmbeddedChannel(StrictClientCodec())
        channel.request(method)
        channel.receive(response.take(split))
        channel.receive(response.drop(split))
        channel.request(HttpMethod.GET)
        channel.receive(responseHead(OK, lengthOf(NEXT_BODY)) + NEXT_BODY)
        return channel.readText()
    }

    private fun EmbeddedChannel.request(method: HttpMethod) {
        writeOutbound(DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"))
    }

    private fun EmbeddedChannel.receive(text: String) {
        if (text.isNotEmpty()) writeInbound(Unpooled.wrappedBuffer(text.toByteArray()))
    }

    private fun EmbeddedChannel.readText(): String {
        val text = inboundMessages().joinToString("") { textOf(it as HttpObject) }
        finishAndReleaseAll()
        return text
    }

    private fun textOf(message: HttpObject): String =
        when {
            message.decoderResult().isFailure -> "malformed"
            message is HttpResponse -> "${message.status().code()} ${message.headers().entries()} "
            message is LastHttpContent -> message.body() + "." + message.trailingHeaders().entries().ifEmpty { "" }
            message is HttpContent -> message.body()
            else -> error("a message of ${message.javaClass}")
        }

    private fun HttpContent.body() = content().toString(Charsets.US_ASCII)

    @TestFactory
    fun `each protocol that can lead to HTTP 1 has the codec`() =
        listOf("h1c" to true, "http" to true, "http" to false, "h1" to true, "https" to true).map { (scheme, usesPreface) ->
            DynamicTest.dynamicTest("$scheme, ${if (usesPreface) "a preface" else "an upgrade"} for HTTP/2") {
                val factory =
                    ClientFactory
                        .builder()
                        .rejectRepeatedHeads()
                        .useHttp2Preface(usesPreface)
                        .tlsNoVerify()
                        .build()
                factory.use {
                    assertEquals(setOf(BODY), bodies(factory, scheme, responseHead(OK, "via:", lengthOf(BODY)) + BODY))
                    assertFails { bodies(factory, scheme, responseHead(OK, "via : v", lengthOf(BODY)) + BODY) }
                }
            }
        }

    /** Returns the bodies read by calls to a server that always writes [response], until a call has used a connection that was kept. */
    private fun bodies(
        factory: ClientFactory,
        scheme: String,
        response: String,
    ): Set<String> {
        val socket = if (scheme in TLS_SCHEMES) tlsSocket() else ServerSocket(0, 8, InetAddress.getLoopbackAddress())
        return StutteringServer(threads, Place.BEFORE_THE_NEXT_RESPONSE, response, response, "", socket).use { server ->
            val client =
                WebClient
                    .builder("$scheme://127.0.0.1:${server.port}")
                    .factory(factory)
                    .build()
                    .blocking()
            val bodies = mutableSetOf<String>()
            var calls = 0
            while (!server.wasReused) {
                assertTrue(calls++ < MAX_CALLS, "no connection was kept in $MAX_CALLS calls")
                bodies += client.get("/").contentUtf8()
            }
            bodies
        }
    }

    private fun tlsSocket(): ServerSocket {
        val context = SSLContext.getInstance("TLS").apply { init(keys.keyManagers, null, null) }
        return context.serverSocketFactory.createServerSocket(0, 8, InetAddress.getLoopbackAddress())
    }

    private val keys by lazy {
        val certificate = SelfSignedCertificate()
        val store = KeyStore.getInstance("PKCS12").apply { load(null, null) }
        store.setKeyEntry("server", certificate.key(), CharArray(0), arrayOf(certificate.cert()))
        certificate.delete()
        KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm()).apply { init(store, CharArray(0)) }
    }

    private companion object {
        const val OK = "HTTP/1.1 200 OK"
        const val CONTINUE = "HTTP/1.1 100 Continue"
        const val CHUNKED = "transfer-encoding: chunked"
        const val CHUNKED_READ = "transfer-encoding=chunked"
        const val BODY = "{}"
        const val MAX_CALLS = 100
        const val NEXT_BODY = "next"
        const val NEXT_READ = "200 [content-length=4] next."
        val TLS_SCHEMES = setOf("h1", "https")
    }
}
