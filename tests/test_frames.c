/* Tests of http/frames: a stream of bytes with a marked end. */
#include "tests/unit.h"

#include <errno.h>
#include <glib.h>

#include "http/frames.h"

enum { PIECE_BYTES = 40000, PIECES = 5 };

/* Writes PIECES pieces of different lengths and the end of the stream. */
static void write_stream(struct buf *frames, struct buf *plain)
{
	char piece[PIECE_BYTES];

	for (int i = 0; i < PIECES; i++) {
		size_t n = i ? sizeof(piece) / (size_t)i : 1;

		memset(piece, 'a' + i, n);
		buf_add(plain, piece, n);
		frame_write(frames, (struct lstr){piece, n});
	}
	frame_write_end(frames);
}

static void a_stream_is_read_whole_from_parts_of_any_size(void **state)
{
	static const size_t parts[] = {1, 2, 7, 4096, 1 << 20};
	struct buf frames = {0}, plain = {0};

	write_stream(&frames, &plain);
	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		struct frame_reader r = {0};
		struct buf out = {0};

		for (size_t at = 0; at < frames.len; at += parts[i]) {
			struct lstr part = {frames.ptr + at,
					    MIN(parts[i], frames.len - at)};

			assert_false(r.ended);
			assert_int_equal(frame_read(&r, part, &out), 0);
		}
		assert_true(r.ended);
		assert_true(lstr_eq(buf_lstr(&out), buf_lstr(&plain)));
		frame_reader_free(&r);
		buf_free(&out);
	}
	buf_free(&frames);
	buf_free(&plain);
}

static void a_stream_that_is_cut_has_no_end(void **state)
{
	struct frame_reader r = {0};
	struct buf frames = {0}, plain = {0}, out = {0};

	write_stream(&frames, &plain);
	frames.len--;
	assert_int_equal(frame_read(&r, buf_lstr(&frames), &out), 0);
	assert_int_equal(out.len, plain.len);
	assert_false(r.ended);
	frame_reader_free(&r);
	buf_free(&frames);
	buf_free(&plain);
	buf_free(&out);
}

static void invalid_frames_are_errors(void **state)
{
	static const struct lstr inputs[] = {
		{"\xc1", 1},	      /* no msgpack */
		{"\x01", 1},	      /* a number */
		{"\xa1x", 2},	      /* a string */
		{"\xc0\xc0", 2},      /* two ends */
		{"\xc0\xc4\x01x", 4}, /* bytes after the end */
	};

	for (size_t i = 0; i < G_N_ELEMENTS(inputs); i++) {
		struct frame_reader r = {0};
		struct buf out = {0};

		assert_int_equal(frame_read(&r, inputs[i], &out), -EPROTO);
		frame_reader_free(&r);
		buf_free(&out);
	}
}

static void a_frame_without_bound_is_an_error(void **state)
{
	struct frame_reader r = {0};
	struct buf out = {0};
	char bytes[65536] = "";
	int rc = frame_read(&r, (struct lstr){"\xc6\x7f\xff\xff\xff", 5}, &out);

	for (int i = 0; i < 16 && !rc; i++)
		rc = frame_read(&r, (struct lstr){bytes, sizeof(bytes)}, &out);
	assert_int_equal(rc, -EPROTO);
	frame_reader_free(&r);
	buf_free(&out);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_stream_is_read_whole_from_parts_of_any_size),
		cmocka_unit_test(a_stream_that_is_cut_has_no_end),
		cmocka_unit_test(invalid_frames_are_errors),
		cmocka_unit_test(a_frame_without_bound_is_an_error),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
