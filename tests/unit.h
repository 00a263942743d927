/* The headers that cmocka requires, and cmocka itself. */
#ifndef MP_TESTS_UNIT_H
#define MP_TESTS_UNIT_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#endif
