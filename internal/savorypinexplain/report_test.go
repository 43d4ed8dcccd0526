package savorypinexplain_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinexplain"
)

const logs = `
other program's line
  22.794 edge-1 time=2026-12-04T05:00:00.100Z level=info msg="stream sent" gateway=edge-1 id=r1 endpoint=i-1 domain=a attempt=1 age=4
  24.011 edge-1 time=2026-12-04T05:00:00.100Z level=info msg="stream broken" gateway=edge-1 id=r1 endpoint=i-1 event=7 age=1213 err="unexpected EOF"
  24.020 edge-1 time=2026-12-04T05:00:00.100Z level=warn msg="stream failed" gateway=edge-1 id=r1 attempts=1 age=1240 event=7 err="retry budget is spent"
  11.000 edge-1 time=2026-12-04T05:00:00.100Z level=warn msg=dependency gateway=edge-1 name=store state=lost
  20.000 edge-1 time=2026-12-04T05:00:00.100Z level=warn msg="failure domain suspect" gateway=edge-1 domain=a
  20.000 edge-2 time=2026-12-04T05:00:00.100Z level=warn msg="failure domain suspect" gateway=edge-2 domain=b
  25.000 edge-2 time=2026-12-04T05:00:00.100Z level=info msg="attempt ended" gateway=edge-2 id=r2 endpoint=i-9 outcome=unknown age=80 err="connection reset"
  25.001 edge-2 time=2026-12-04T05:00:00.100Z level=warn msg="request refused" gateway=edge-2 id=r2 status=502 reason="endpoint failed" configuration=4 confirmationAge=300 endpoints=3 suspects=1
  26.000 edge-2 time=2026-12-04T05:00:00.100Z level=info msg="stream sent" gateway=edge-2 id=r3 endpoint=i-9
`

var _ = Describe("Explain", func() {
	readLines := func(text string) []savorypinexplain.Line {
		lines, err := savorypinexplain.Read(strings.NewReader(text))
		Expect(err).NotTo(HaveOccurred())
		return lines
	}

	for _, tc := range []struct{ id, summary string }{
		{"r1", "the stream failed after event 7 and 1 attempts: retry budget is spent"},
		{"r2", "the gateway answered with an error of its own, status 502: endpoint failed; configuration 4, confirmed 300 ms before, 3 endpoints, 1 of them suspect; " +
			"the last attempt, at i-9, ended after 80 ms: unknown connection reset"},
		{"r3", `the log ends with "stream sent": the gateway edge-2 may have been killed, or lines were left out`},
	} {
		It("summarizes how "+tc.id+" ended and why", func() {
			report, err := savorypinexplain.Explain(tc.id, readLines(logs))
			Expect(err).NotTo(HaveOccurred())
			Expect(report.Summary).To(Equal(tc.summary))
		})
	}

	It("lists the request's lines, and the state changes of only its own gateways shortly before it", func() {
		report, err := savorypinexplain.Explain("r1", readLines(logs))
		Expect(err).NotTo(HaveOccurred())
		Expect(report.History).To(HaveLen(3))
		Expect(report.GatewayEvents).To(HaveLen(1))
		Expect(report.GatewayEvents[0].Value("domain")).To(Equal("a"))
		var text strings.Builder
		Expect(report.Write(&text)).To(Succeed())
		Expect(text.String()).To(ContainSubstring("-2.794 s  edge-1               failure domain suspect domain=a"))
		Expect(text.String()).To(ContainSubstring("+1.217 s  edge-1               stream broken          endpoint=i-1"))
	})

	It("names the part of the prompt that is in quarantine, and the crashes of any gateway because of it", func() {
		more := `
  1.000 edge-2 time=2026-12-04T05:00:00.100Z level=info msg="endpoint crashed" gateway=edge-2 endpoint=i-1 events=0 parts=aa,bb suspicion=1 id=r7
  1.100 edge-2 time=2026-12-04T05:00:00.100Z level=info msg="stream failed" gateway=edge-2 id=r7 attempts=1 age=90 err="retry budget is spent"
  1.200 edge-2 time=2026-12-04T05:00:00.100Z level=info msg="endpoint crashed" gateway=edge-2 endpoint=i-1 events=0 parts=aa suspicion=0 id=r7
  2.000 edge-2 time=2026-12-04T05:00:00.100Z level=info msg="quarantine changed" gateway=edge-2 part=bb released=false round=1 crashes=3
  60.000 edge-1 time=2026-12-04T05:00:00.100Z level=info msg="request refused" gateway=edge-1 id=r8 status=503 reason="part of the prompt is in quarantine" part=bb
  61.000 edge-2 time=2026-12-04T05:00:00.100Z level=info msg="quarantine changed" gateway=edge-2 part=bb released=true round=1 crashes=0
`
		report, err := savorypinexplain.Explain("r8", readLines(more))
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Summary).To(ContainSubstring("status 503: part of the prompt is in quarantine"))
		Expect(report.SubjectEvents).To(HaveLen(2))
		var text strings.Builder
		Expect(report.Write(&text)).To(Succeed())
		Expect(text.String()).To(ContainSubstring("-59.000 s  edge-2               endpoint crashed       endpoint=i-1 events=0 parts=aa,bb"))
		report, err = savorypinexplain.Explain("r7", readLines(more))
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Summary).To(HavePrefix("the stream failed"))
	})

	It("names the request that is in quarantine, and the crashes of any gateway under its repeats", func() {
		more := `
  1.000 edge-2 time=2026-12-04T05:00:00.100Z level=info msg="endpoint crashed" gateway=edge-2 endpoint=i-1 events=0 parts= request=cc suspicion=1 id=r7
  1.100 edge-2 time=2026-12-04T05:00:00.100Z level=info msg="endpoint crashed" gateway=edge-2 endpoint=i-1 events=0 parts= request=dd suspicion=1 id=r9
  2.000 edge-1 time=2026-12-04T05:00:00.100Z level=info msg="quarantine changed" gateway=edge-1 request=cc released=false round=1 crashes=3
  60.000 edge-1 time=2026-12-04T05:00:00.100Z level=info msg="request refused" gateway=edge-1 id=r8 status=503 reason="request is in quarantine" request=cc
`
		report, err := savorypinexplain.Explain("r8", readLines(more))
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Summary).To(ContainSubstring("status 503: request is in quarantine"))
		Expect(report.SubjectEvents).To(HaveLen(2))
		Expect(report.SubjectEvents[0].Value("id")).To(Equal("r7"))
	})

	for _, tc := range []struct{ id, summary string }{
		{"r1", "status 503: no room at endpoints: displaced; configuration 4, confirmed 300 ms before, 3 endpoints, 0 of them suspect; " +
			"the stream failed: no endpoint has room; it waited 2100 ms for an endpoint of llm with room, at priority 2, and was refused (displaced), with 80 streams waiting"},
		{"r2", "the stream completed in 9000 ms: first event after 3000 ms, longest pause 90 ms, 1 attempts; " +
			"it waited 1500 ms for an endpoint of llm with room, at priority 0, and started"},
	} {
		It("says how long "+tc.id+" waited for room at an endpoint, and why it was refused", func() {
			waits := `
  2.000 edge-1 time=2026-12-04T05:00:00.100Z level=info msg="stream waited" gateway=edge-1 id=r1 service=llm priority=2 outcome="was refused" wait=2100 length=80 age=2103 reason=displaced retryAfter=900
  2.000 edge-1 time=2026-12-04T05:00:00.100Z level=warn msg="stream failed" gateway=edge-1 id=r1 attempts=0 age=2103 err="no endpoint has room"
  2.001 edge-1 time=2026-12-04T05:00:00.100Z level=warn msg="request refused" gateway=edge-1 id=r1 status=503 reason="no room at endpoints: displaced" configuration=4 confirmationAge=300 endpoints=3 suspects=0
  3.000 edge-1 time=2026-12-04T05:00:00.100Z level=info msg="stream waited" gateway=edge-1 id=r2 service=llm priority=0 outcome=started wait=1500 length=3 age=1502
  9.000 edge-1 time=2026-12-04T05:00:00.100Z level=info msg="stream completed" gateway=edge-1 id=r2 attempts=1 age=9000 first=3000 longestPause=90 event=90
`
			report, err := savorypinexplain.Explain(tc.id, readLines(waits))
			Expect(err).NotTo(HaveOccurred())
			Expect(report.Summary).To(HaveSuffix(tc.summary))
		})
	}

	It("uses the gateway's time if the log collector put no time in front of the line", func() {
		line := `time=2026-12-04T05:00:00.250Z level=info msg="stream sent" gateway=edge-1 id=r1`
		Expect(readLines(line)[0].At).To(Equal(time.Duration(time.Date(2026, 12, 4, 5, 0, 0, 250e6, time.UTC).UnixNano())))
	})

	It("fails if no line has the request's ID or the log has no gateway lines", func() {
		_, err := savorypinexplain.Explain("r9", readLines(logs))
		Expect(err).To(MatchError(savorypinexplain.ErrUnknownRequest))
		_, err = savorypinexplain.Read(strings.NewReader("nothing"))
		Expect(err).To(MatchError(savorypinexplain.ErrNoLines))
	})
})

var _ = Describe("CountCauses", func() {
	It("sorts causes by frequency and includes requests without a final line and left-out lines", func() {
		more := logs + `
  27.000 edge-2 time=2026-12-04T05:00:00.100Z level=warn msg="request refused" gateway=edge-2 id=r4 status=502 reason="endpoint failed"
  28.000 edge-2 time=2026-12-04T05:00:00.100Z level=info msg="stream completed" gateway=edge-2 id=r5 attempts=2 event=90
  28.000 edge-2 time=2026-12-04T05:00:00.100Z level=info msg="endpoint leaves" gateway=edge-2 id=r5 endpoint=i-9
  29.000 edge-2 time=2026-12-04T05:00:00.100Z level=warn msg="lines left out" gateway=edge-2 of="request answered" count=40
`
		lines, err := savorypinexplain.Read(strings.NewReader(more))
		Expect(err).NotTo(HaveOccurred())
		Expect(savorypinexplain.CountCauses(lines)).To(Equal([]savorypinexplain.Cause{
			{First: 29 * time.Second, Last: 29 * time.Second, Name: "left out of the log: request answered", Requests: 40},
			{First: 25001 * time.Millisecond, Last: 27 * time.Second, Name: "refused with 502: endpoint failed", Requests: 2},
			{First: 26 * time.Second, Last: 26 * time.Second, Name: "no end: the gateway was lost, or lines were left out", Requests: 1},
			{First: 28 * time.Second, Last: 28 * time.Second, Name: "stream completed after more attempts than one", Requests: 1},
			{First: 24020 * time.Millisecond, Last: 24020 * time.Millisecond, Name: "stream failed: retry budget is spent", Requests: 1},
		}))
	})
})
